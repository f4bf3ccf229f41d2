Feature: Each caller gets the whole answer to its own request
  An engine fails in the middle of an answer.  The daemon detects it by the
  offset of each piece or by the idle timeout, and resumes the answer on the
  same or another upstream.  The caller must get each word exactly once, or
  an error.

  Scenario Outline: an engine with fault <fault>, answer <how>
    Given each engine injects the fault <fault> once
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

  Scenario: an engine goes silent in the middle of an answer
    Given each engine injects the fault silent once
    When a caller asks for 40 tokens, streamed
    Then it reads the whole answer, word for word

  Scenario: an incomplete answer does not look complete
    Given every engine cuts every answer
    When a caller asks for 40 tokens, streamed
    Then it gets an error event, and the response does not end cleanly

  Scenario: concurrent callers each read their own answer
    When 24 callers ask different questions at the same time
    Then each reads the answer to its own question

  Scenario: the deadline passes in the middle of an answer
    When a caller asks for 2000 tokens within 300 ms
    Then it gets an error at once that the deadline passed
