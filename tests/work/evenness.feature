Feature: Many daemons fill replicas evenly
  Daemons choose at the same time, by counts of each other's requests that
  are 50 to 300 ms old.

  Scenario Outline: <daemons> daemons at <use> of the room, seed <seed>
    Pattern: one model on 81 or 54 replicas in three data centres, random
    arrivals.  Guards against requests that wait at a replica while another
    one has a free slot, since many daemons chose the same one at once.

    Given <daemons> daemons with reports of 50 to 300 ms
    When <use> of the room is asked for with seed <seed>
    Then requests wait beside a free slot a quarter as often as without
    And the slowest first events take 1.3 times those of a chooser that knows

    Examples:
      | daemons | use  | seed |
      | 36      | 0.8  | 1    |
      | 61      | 0.8  | 1    |
      | 36      | 0.95 | 1    |
      | 61      | 0.95 | 1    |
