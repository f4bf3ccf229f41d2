Feature: What upstreams of the own interface ask for in their answers

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

  Scenario Outline: a record service asks for <rest> s of rest, and callers go on
    Guards against requests to an upstream that has just turned others away.
    Given the record service turns look-ups away and asks for a rest of "<rest>"
    When callers look records up for 4 s, 20 a second
    Then the service gets at least <least> and at most <most> of them
    And all are refused with <status> and a time
    When the service turns nothing away any more
    Then within 6 s all look-ups are served again

    Examples:
      | rest  | least | most | status     |
      | 2     | 1     | 3    | 503        |
      | 1.5   | 1     | 4    | 503        |
      | soon  | 20    | 250  | 502 or 503 |
      | -1    | 20    | 250  | 502 or 503 |
      | 1e999 | 20    | 250  | 502 or 503 |

  Scenario Outline: a record service says "<value>" of its leaving
    Guards against requests to an upstream that is about to go.
    Given the record service says "<value>" of its leaving
    When callers look records up for 2 s, 20 a second
    Then the service gets at least <least> and at most <most> of them

    Examples:
      | value | least | most |
      | 0     | 40    | 40   |
      | maybe | 40    | 40   |
      | 1     | 0     | 0    |
