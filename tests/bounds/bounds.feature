Feature: Limits over all daemons together
  Limits hold over all daemons, also while they can't reach each other: each
  daemon takes an equal share, without coordination.

  Scenario Outline: retries of a service that fails everything, <daemons> daemons
    Guards against a retry storm: unlimited retries would keep overloaded
    upstreams from recovering.

    Given <daemons> daemons with 0.2 retries per request and 130 in 10 s
    When each gets <rate> requests a second for 30 s, and retries all it may
    Then in no 10 s there are more retries than the limit

    Examples:
      | daemons | rate |
      | 1       | 80   |
      | 6       | 14   |
      | 9       | 0.5  |
      | 82      | 3    |

  Scenario Outline: a cold upstream that all daemons use, <daemons> daemons
    Guards against overload of a cold upstream: well above its rate it
    crashes, and all its running requests are lost.

    Given <daemons> daemons and a cold upstream of 59 requests a second
    When each tries to send 40 a second for 5 s
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
      | updated by an older entry   | 2    |

  Scenario Outline: an entry that is removed <when> a failed call to the store
    Entries lapse while the store is unreachable and return with it. An entry
    that stays away is gone; its runner gets no request two seconds after the
    store removed it.

    Given a list of runners, and a call to the store that failed
    When an entry is removed <after> ms later
    Then its runner is used for <kept> ms and no longer

    Examples:
      | when        | after | kept  |
      | right after | 100   | 1500  |
      | long after  | 9000  | 0     |

  Scenario: an entry is removed, and the store is not read again
    Guards against using an upstream until the next read, however late that
    is.

    Given a list of runners, and a call to the store that failed
    When an entry is removed 100 ms later, and nothing is read after that
    Then its runner is used for 1500 ms and no longer

  Scenario: an entry that lapsed returns with the store
    Given a list of runners, and a call to the store that failed
    When an entry is removed 100 ms later, and restored after 1 s
    Then its runner has been used all the time
