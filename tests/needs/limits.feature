Feature: Upstreams that name a request rate get no more
  Guards against upstreams in need that get as many requests as before. The
  rate is for all daemons together; it counts from 3 s after it was first
  named, for daemons that have passed on an answer that names it.

  Scenario Outline: answers of <who> name a rate of <rate> a second, <more>
    Given a soak of seed <seed> for 30 s with 6 daemons, <callers> callers and no faults
    And from 8 s to 22 s answers of <who> name a rate of <rate> a second, <more>
    When it has run
    Then no promise was broken
    And no runner got more requests than its rate allows
    And each of them got at least half of its rate meanwhile
    And from 4 s after that each gets at least half as many as before
    And callers were served, or refused by all that they could reach

    Examples:
      | who               | rate | more                         | callers | seed |
      | one head          | 1.1  | at all daemons               | 30      | 601  |
      | one head          | 0.3  | at all daemons               | 30      | 602  |
      | all heads         | 1.3  | at all daemons               | 60      | 603  |
      | all heads         | 0.3  | at all daemons               | 30      | 604  |
      | one plain runner  | 1.4  | at all daemons               | 30      | 605  |
      | all plain runners | 1.1  | at all daemons               | 30      | 606  |
      | one head          | 1.3  | as three daemons start again | 30      | 607  |
      | all heads         | 1.3  | as two daemons have no links | 60      | 608  |
