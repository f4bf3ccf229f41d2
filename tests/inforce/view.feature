Feature: The version in force never falls
  Versions arrive from the platform and from peers in any order.  Guards
  against serving callers by an older version than before.

  Scenario Outline: versions arrive in any order
    Given a daemon's view
    When it receives versions <received>
    Then the versions in force were <in_force>
    And the invariant was checked <checks> times

    Examples:
      | received   | in_force   | checks |
      | 1, 2, 3    | 1, 2, 3    | 3      |
      | 3, 2, 1    | 3, 3, 3    | 1      |
      | 1, 3, 2, 4 | 1, 3, 3, 4 | 3      |
      | 2, 2       | 2, 2       | 1      |
