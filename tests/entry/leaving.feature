Feature: A caller that goes away frees what it held
  A caller closes its connection, or stops reading, while its answer is being
  generated.  Nobody reads the rest: the engine must be told to stop, or it
  spends its slots on answers that no one gets.

  Scenario Outline: a caller leaves
    When a caller leaves <when> of a <how> answer of 2000 tokens
    Then the engine stops, and one log line says "<outcome>"

    Examples:
      | when          | how       | outcome     |
      | in the middle | streamed  | caller-left |
      | in the middle | collected | caller-left |

  Scenario: a caller stops reading
    When a caller of a streamed answer of 2000 tokens reads nothing
    Then the engine stops, and one log line says "caller-left"
