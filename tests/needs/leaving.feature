Feature: Upstreams that say in their answers that they leave get nothing new
  Guards against requests to an upstream that is about to go and that the list
  shows as ready. Late is a request that its caller sent more than 2 s after
  the daemon had passed on such an answer.

  Scenario Outline: answers of <who> say that it leaves, <more>
    Given a soak of seed <seed> for 26 s with 6 daemons, 30 callers and no faults
    And from 8 s to 20 s answers of <who> say that it leaves, <more>
    When it has run
    Then no promise was broken
    And no request is late at a runner that leaves
    And each of them got few requests from 3 s on

    Examples:
      | who              | more                         | seed |
      | one head         | at all daemons               | 621  |
      | one plain runner | at all daemons               | 622  |
      | one plain runner | as three daemons start again | 623  |
      | one head         | as two daemons have no links | 625  |
