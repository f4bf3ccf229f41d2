Feature: The version in force never falls
  Versions reach a daemon from the platform and from peers, in any order.
  Callers must never be served by an older one than before.

  Scenario Outline: versions arrive in any order
    Given a daemon's view
    When it is told of versions <told>
    Then the versions in force were <seen>
    And the promise was looked at <looks> times

    Examples:
      | told       | seen       | looks |
      | 1, 2, 3    | 1, 2, 3    | 3     |
      | 3, 2, 1    | 3, 3, 3    | 1     |
      | 1, 3, 2, 4 | 1, 3, 3, 4 | 3     |
      | 2, 2       | 2, 2       | 1     |
