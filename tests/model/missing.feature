Feature: Values that are missing remember why
  A caller of the platform that forgets to test for failure must see the
  reason of the failure, not an unrelated attribute error later on.

  Scenario Outline: using a missing value tells its reason
    Given a value missing because "the store is down" at "teams/kanta"
    When it is used by <use>
    Then the error names "the store is down" and "teams/kanta"

    Examples:
      | use       |
      | attribute |
      | item      |
      | iteration |
      | addition  |
      | call      |
      | length    |

  Scenario: a missing value is false
    Given a value missing because "gone" at "x"
    Then it counts as false
