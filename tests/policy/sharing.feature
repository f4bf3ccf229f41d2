Feature: Daemons that disagree on whether an upstream is cold

  Scenario Outline: one of <daemons> daemons takes an upstream for cold
    Guards against a daemon that refuses all its callers for a whole ramp: it
    needs a loan, and the keeper, for which the upstream is warm, lends none.

    Given <daemons> daemons that share an upstream of 4 slots
    When its service times jump for one that is not its keeper
    Then within 2 s that one may use the upstream
    And all together never use more than 4 slots of it

    Examples:
      | daemons |
      | 2       |
      | 3       |
