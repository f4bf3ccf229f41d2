Feature: The request rate that an upstream of the own interface names

  Scenario Outline: a record service names a rate of <rate>, and callers go on
    Guards against an upstream in need that gets as many requests as before,
    against late refusals, and against values that are no rate.
    Given the record service names a rate of "<rate>"
    When callers look records up for 4 s, 20 a second
    Then the service gets at least <least> and at most <most> of them
    And the others are refused at once with 503 and a time
    When the service names no rate any more
    Then within 6 s all look-ups are served again

    Examples:
      | rate  | least | most |
      | 1     | 2     | 11   |
      | 2.5   | 5     | 20   |
      | many  | 70    | 90   |
      | -1    | 70    | 90   |
      | 1e999 | 70    | 90   |
