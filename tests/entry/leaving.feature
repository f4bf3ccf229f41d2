Feature: A request is cancelled when its caller disconnects
  A caller closes its connection, or stops reading, while its answer is being
  generated.  The engine must be told to stop, or its slots stay occupied by
  answers that nobody reads.

  Scenario Outline: a caller disconnects
    When a caller disconnects <when> of a <how> answer of 2000 tokens
    Then the engine stops, and one log line says "<outcome>"

    Examples:
      | when          | how       | outcome     |
      | in the middle | streamed  | caller-left |
      | in the middle | collected | caller-left |

  Scenario: a caller stops reading
    When a caller of a streamed answer of 2000 tokens reads nothing
    Then the engine stops, and one log line says "caller-left"
