Feature: Each caller gets the whole answer to its own request
  The engine misbehaves in the middle of an answer.  The daemon finds it by
  the offset of each piece, or by silence, and asks for the rest on the same
  or another upstream.  The caller must read every word once, or be told.

  Scenario Outline: an engine that misbehaves in the middle of an answer
    Given the engines will <fault> once
    When a caller asks for 40 tokens, <how>
    Then it reads the whole answer, word for word

    Examples:
      | fault  | how       |
      | cut    | streamed  |
      | cut    | collected |
      | gap    | streamed  |
      | gap    | collected |
      | repeat | streamed  |
      | stray  | streamed  |
      | stray  | collected |
      | refuse | streamed  |

  Scenario: an engine that falls silent in the middle of an answer
    Given the engines will silent once
    When a caller asks for 40 tokens, streamed
    Then it reads the whole answer, word for word

  Scenario: an answer that can't be finished never looks finished
    Given every engine cuts every answer
    When a caller asks for 40 tokens, streamed
    Then it is told by an error event, and the connection does not end clean

  Scenario: many callers at once each read their own answer
    When 24 callers ask different questions at the same time
    Then each reads the answer to its own question

  Scenario: the deadline passes in the middle of an answer
    When a caller asks for 2000 tokens within 300 ms
    Then it is told that the deadline passed, at once
