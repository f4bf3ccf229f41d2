Feature: Missing values carry the reason of the failure
  Code that uses the result of a failed call without a check must raise an
  error with the reason of the failure, not an unrelated attribute error.

  Scenario Outline: using a missing value by <use> raises its reason
    Given a value that is missing at "teams/kanta" because "the store is down"
    When it is used by <use>
    Then the error contains "the store is down" and "teams/kanta"

    Examples:
      | use       |
      | attribute |
      | item      |
      | iteration |
      | addition  |
      | call      |
      | length    |

  Scenario: a missing value is false
    Given a value that is missing at "x" because "gone"
    Then it is false
