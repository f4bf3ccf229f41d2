Feature: Shares of a full replica pool
  Decisions about teams, kinds of request and returns, without daemons.

  Scenario Outline: the level of shares, <what>
    Guards against a share that is lost when its team asks for less, or that
    grows with what a team sends.

    Given a pool of <room> slots
    When teams use <use> with weights <weights>
    Then their level is <level>

    Examples:
      | what                        | room | use              | weights    | level |
      | room for all                | 100  | a:30 b:40        | a:1        | inf   |
      | all ask for more            | 90   | a:60 b:60 c:60   | a:1        | 30    |
      | one asks for less           | 90   | a:10 b:60 c:60   | a:1        | 40    |
      | a heavier team              | 90   | a:80 b:80        | a:2        | 30    |
      | teams that no report names  | 90   | a:60 b:60 *:30   | a:1        | 30    |
      | the reported rest is all    | 90   | a:60 *:100       | a:1        | 0     |

  Scenario: a limited team leaves the others' part free
    Pattern: a team that sends without end beside 23 within their shares.
    Guards against a flood that comes between two reports.

    Given a pool of 240 slots that 23 teams use with 8 requests each
    When a team of this one of 12 daemons sends 1000 requests at once
    Then at most its part of 240 slots less the margin starts

  Scenario Outline: the end of an excess, <lasted> ms
    Guards against callers that come back into the excess that refused them.

    Given excesses that lasted <lasted> ms
    When 20 callers are refused at the begin of the next one
    Then none comes back before <earliest> ms
    And none waits longer than 2000 ms

    Examples:
      | lasted | earliest |
      | 600    | 400      |
      | 1600   | 1000     |

  Scenario: returns are spread by the room that becomes free
    Guards against callers that return together and fill the pool at once.

    When 10 callers are refused while 0.02 slots become free a ms
    Then at most 2 of them come back within any 100 ms

  Scenario Outline: a kind that is served <lead> more often, <who>
    Guards against a kind of request that starves.

    Given kinds of which the <who> is served <lead> more often
    Then it <does> to the other

    Examples:
      | who   | lead | does           |
      | small | 0.01 | does not yield |
      | small | 0.03 | yields         |
      | large | 0.01 | yields         |
      | large | 0.04 | yields         |

  Scenario: 1,000 teams and 1,600 daemons
    Pattern: three reports of 1,000 teams, 100 replicas, requests of all teams
    by turns.  Guards against decisions that slow down all requests, and
    against state that grows with callers.

    Given a full pool of 100 replicas whose reports name 1000 teams
    When 5000 requests are decided upon, 2 in a ms
    Then a decision takes 150 us at most
    And a report names at most 33 teams
