Feature: Upstreams that ask for rest get it
  Guards against requests that go to upstreams which have just turned others
  away. An upstream that answers 503 with Retry-After wants nothing for so long
  from the daemon that it answered; two requests in that time are allowed.

  Scenario Outline: answers of <who> ask for <seconds> s of rest, <more>
    Given a soak of seed <seed> for 30 s with 6 daemons, 30 callers and no faults
    And from 8 s to 22 s answers of <who> ask for <seconds> s of rest, <more>
    When it has run
    Then no promise was broken
    And no daemon sent a resting runner more than two requests
    And from 4 s after that each gets at least half as many as before
    And callers were served, or refused by all that they could reach

    Examples:
      | who               | seconds | more                         | seed |
      | one head          | 3       | at all daemons               | 611  |
      | all heads         | 2.1     | at all daemons               | 613  |
      | one plain runner  | 3.2     | at all daemons               | 614  |
      | all plain runners | 2.1     | at all daemons               | 616  |
      | one head          | 3       | as three daemons start again | 617  |
      | all heads         | 2.5     | as two daemons have no links | 619  |
