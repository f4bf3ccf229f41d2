Feature: Replicas go where callers need them
  The real planner is compared with layouts that were fixed for the pattern.

  Scenario Outline: demand for "<kind>" doubles in one data centre
    Pattern: 3 data centres of 2 domains of 37 runners, models of 16 and 4.
    One kind of request comes twice as often in one data centre for 10 s,
    while one of its domains is dark. Guards against a layout that follows
    too late, or interrupts more callers than it helps.

    Given the work of "wideslow" with "<kind>" doubled in data centre 0
    When it is played by data centre with seed <seed>
    And it is played with the fixed layout of <here> and <elsewhere> large replicas a domain
    Then the planner's worth is at least 0.9 of that of the fixed layout

    Examples: the best fixed layout of nine, for a kind of the small model
      | kind     | seed | here | elsewhere |
      | guidance | 3    | 2    | 0         |
