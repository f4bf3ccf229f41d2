Feature: Replicas of one model are exchanged for those of another
  Losses hit the model of large replicas more often: a domain one runner short
  of a large replica can still form small ones.

  Scenario: large replicas lose members while both models are in demand
    Guards against callers of the large model who are refused by its last
    replicas, while small replicas that took the runners are half idle.

    Given a shifted site with 30 requests at "m0" and 200 at "m1"
    When members are lost in 10 rounds
    Then the site has at least 6 large replicas at any time
    And on average at most 6 runners are free
    And no promise about groups was broken there

  Scenario Outline: the large model has <large> requests and the small one <small>
    Guards against replicas that are closed although no caller waits, and
    against exchanges that are made and undone.

    Given a shifted site with <large> requests at "m0" and <small> at "m1"
    When 30 s pass there without a loss
    Then at most <most> replicas have been closed
    And no promise about groups was broken there

    Examples:
      | large | small | most |
      | 0     | 0     | 0    |
      | 20    | 100   | 0    |
      | 30    | 200   | 0    |
      | 40    | 250   | 0    |

  Scenario: one model gets four times its requests for 9 s
    Guards against runners that move back and forth with each burst.

    Given a shifted site with 20 requests at "m0" and 150 at "m1"
    When "m0" has 80 requests for 9 s, and 20 again for 20 s
    Then at most 16 replicas have been closed
    And no promise about groups was broken there

  Scenario: the small model needs the runners of a large replica
    Given a shifted site with 5 requests at "m0" and 420 at "m1"
    When 12 s pass there without a loss
    Then more than 45 small replicas stand
    And no promise about groups was broken there

  Scenario: a data centre is cut off while the large model is in demand
    Guards against an exchange that is planned where no order arrives, and
    keeps the others from beginning.

    Given a shifted site with 20 requests at "m0" and 150 at "m1"
    When the runners of "zone-0" are cut off, and 2 s pass
    And "m0" has 80 requests for 6 s, and 20 again for 0 s
    Then replicas have been closed, and none of "zone-0"
    And no promise about groups was broken there

  Scenario: an exchange tells what decided it
    Guards against closed replicas of which the log gives no reason.

    Given a shifted site with 80 requests at "m0" and 150 at "m1"
    When 1 s pass there without a loss
    Then the first exchange is told with its closed groups of "m1", for "m0", the busier one
    And no exchange is told twice
