Feature: The work of a daemon does not grow with the fleet
  Pattern: 195 daemons in five data centres before 875 runners, of which some
  change every second.  Work is counted in executed instructions, which no
  load of the machine disturbs.

  Scenario: one runner of the list changes
    Guards against an index that is rebuilt for each changed runner: at a
    start, 875 runners would be walked 875 times by each daemon.

    Given directories with 105 and with 875 runners
    When one runner of each changes
    Then the larger one takes at most 1.2 times the work

  Scenario: a coordinator's sum arrives
    Guards against work for each known upstream at each message, five times a
    second in each daemon.

    Given daemons that know 105 and 875 upstreams
    When a sum of 20 upstreams arrives at each
    Then the larger one takes at most 1.2 times the work

  Scenario: a coordinator sends the sums to 38 daemons
    Guards against a sum that is added up and encoded for each receiver.

    Given 195 daemons in 5 data centres that have reported 3 upstreams each
    When a coordinator sends its sums
    Then all daemons of its data centre get one and the same message
    And each of them subtracts its own requests from it

  Scenario: a daemon of an older release gets a sum without its own requests
    Guards against requests that count twice during a rollout.

    Given 195 daemons in 5 data centres that have reported 3 upstreams each
    And one of them is of an older release
    When a coordinator sends its sums
    Then that one gets a sum without its own requests

  Scenario: a request is placed while local replicas are nearly idle
    Guards against forecasts for replicas that can't be chosen: with the cost
    of the way no remote one is better than a local one with little load.

    Given 44 local and 175 remote replicas with little load
    When a request is placed
    Then it takes at most 2 times the work of placing it among the 44 alone
    And both choose a local replica

  Scenario: a plan after losses at 105 and 875 runners
    Guards against a walk over all suspected runners for each runner: a plan
    of 875 took 19 times the work of one of 105, and is due every 100 ms.

    Given large sites of 3 and of 25 domains that have lost members
    When the next plan of each is made
    Then the larger one takes at most 10 times the work
