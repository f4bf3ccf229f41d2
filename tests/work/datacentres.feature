Feature: Demand goes to other data centres by what callers lose
  36 daemons in three data centres choose by counts of each other's requests
  that are 50 to 300 ms old.

  Scenario Outline: demand of 1.3 : 1 : 1 at 0.85 of all room, seed <seed>
    Pattern: one model on 27 replicas in each data centre, links of 3 ms,
    random arrivals.  The need is what callers ask for in a data centre beyond
    an even use of all room.
    Guards against callers that are late in one data centre while another one
    has room, and against traffic between data centres without a gain.

    Given three data centres that are asked for their room as 1.3 : 1 : 1
    When 0.85 of all room is asked for with seed <seed>
    Then the worst data centre is in time 0.97 times as often as the best
    And at most 1.2 times the need passes between data centres
    And without the choice by loss the worst is below that

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: demand of 2 : 1 : 1 at 0.85 of all room
    Guards against data centres that send requests back and forth.

    Given three data centres that are asked for their room as 2 : 1 : 1
    When 0.85 of all room is asked for with seed 1
    Then the worst data centre is in time 0.97 times as often as the best
    And at most 1.2 times the need passes between data centres
    And the first data centre gets 0.01 of what it sends

  Scenario: an even demand at 0.85 of all room
    Guards against traffic between data centres without a need.

    Given three data centres that are asked for their room as 1 : 1 : 1
    When 0.85 of all room is asked for with seed 1
    Then at most 0.01 of all passes between data centres
    And the worst data centre is in time 0.97 times as often as the best

  Scenario: a data centre is evacuated and comes back empty
    Pattern: 0.56 of all room; the second data centre is asked for 0.84 of its
    room, and the third one is out of service for 5 s.
    Guards against callers of an evacuated data centre that fill one of the
    others, and against a rush to the one that comes back.

    Given three data centres that are asked for their room as 2 : 5 : 3
    And the third one is evacuated from second 4 to 9
    When 0.56 of all room is asked for with seed 1
    Then 0.97 of the calls are in time before it, during it and after it
