Feature: What all daemons together may send
  Bounds hold over all daemons, also while they can't reach each other. Each
  takes an equal part; nobody asks anybody.

  Scenario Outline: repeats of a service that fails everything, <daemons> daemons
    Upstreams that fail because they are overloaded would be kept down by
    repeats without a bound.

    Given <daemons> daemons with 0.2 repeats a request and 130 in 10 s
    When each gets <rate> requests a second for 30 s, and repeats all it may
    Then in no 10 s there are more repeats than the bound

    Examples:
      | daemons | rate |
      | 1       | 80   |
      | 6       | 14   |
      | 9       | 0.5  |
      | 82      | 3    |

  Scenario Outline: a cold upstream that everybody wants, <daemons> daemons
    Well above its rate it crashes, and all that it runs is lost.

    Given <daemons> daemons before a cold upstream of 59 requests a second
    When each wants to send 40 a second for 5 s
    Then in no second the upstream gets more than 59

    Examples:
      | daemons |
      | 1       |
      | 6       |
      | 9       |
      | 50      |
      | 82      |
      | 400     |

  Scenario Outline: an upstream that is <state>
    Given a directory with an open head in each of two data centres
    When the first one is <state>
    Then <left> of them take requests

    Examples:
      | state                       | left |
      | as it was                   | 2    |
      | leaving                     | 1    |
      | in a data centre taken out  | 1    |
      | gone from the list          | 1    |
      | closing its group           | 1    |
      | told of by an older entry   | 2    |

  Scenario Outline: an entry that goes <when> a failed call to the store
    Entries lapse while the store is away and return with it. One that stays
    away is gone, and gets no request two seconds after the store said so.

    Given a list of runners, and a call to the store that failed
    When an entry goes <after> ms later
    Then its runner is used for <kept> ms and no longer

    Examples:
      | when        | after | kept  |
      | right after | 100   | 1500  |
      | long after  | 9000  | 0     |

  Scenario: an entry goes, and the store is not read again
    Guards against an upstream that is used until the next reading, however
    late that comes.

    Given a list of runners, and a call to the store that failed
    When an entry goes 100 ms later, and nothing is read from then on
    Then its runner is used for 1500 ms and no longer

  Scenario: an entry that lapsed returns with the store
    Given a list of runners, and a call to the store that failed
    When an entry is away 100 ms later, and back after 1 s
    Then its runner has been used all the while
