Feature: A caller gets its own answer, complete and in order
  An engine may repeat, drop or mix up pieces, or end its stream early.
  None of it may change the caller's answer: a certificate with a sentence
  missing looks like a complete one.

  Scenario Outline: a piece after "hello" is <name>
    After "hello" an engine sends this piece, on the same connection or on
    a resumed one.  The relayed text must remain a prefix of the answer
    "hello world", whatever the engine sends.
    Given an answer of request "r1" with "hello" relayed
    When the piece <request>, <offset>, "<text>", "<finish>" comes
    Then it gives <result>
    And the caller has "<has>"

    Examples: pieces that are relayed, in whole or in part
      | name              | request | offset | text   | finish | result | has         |
      | the next one      | r1      | 5      | _worl  |        | text   | hello_worl  |
      | empty             | r1      | 5      |        |        | text   | hello       |
      | the last one      | r1      | 5      |        | stop   | text   | hello       |
      | last, with text   | r1      | 5      | _worl  | stop   | text   | hello_worl  |
      | a repeat          | r1      | 0      | hello  |        | text   | hello       |
      | an inner repeat   | r1      | 1      | ell    |        | text   | hello       |
      | a longer repeat   | r1      | 3      | lo_wor |        | text   | hello_wor   |
      | a repeated end    | r1      | 3      | lo_wor | stop   | text   | hello_wor   |

    Examples: pieces that are rejected
      | name              | request | offset | text   | finish | result    | has   |
      | of another        | r2      | 5      | _worl  |        | stray     | hello |
      | another's end     | r2      | 5      |        | stop   | stray     | hello |
      | after a gap       | r1      | 6      | worl   |        | gap       | hello |
      | an end beyond     | r1      | 9      |        | stop   | gap       | hello |
      | another beginning | r1      | 0      | jello  |        | diverged  | hello |
      | a longer other    | r1      | 3      | xx_wor |        | diverged  | hello |
      | an end too soon   | r1      | 3      |        | stop   | diverged  | hello |
      | before the start  | r1      | -1     | x      |        | malformed | hello |

  Scenario Outline: a piece after the end is <name>
    The last piece was relayed, so the caller has stopped reading.  Later
    pieces, on any connection, must be rejected.
    Given an answer of request "r1" with "hello" relayed
    When the piece r1, 5, "", "stop" comes
    And the piece <request>, <offset>, "<text>", "<finish>" comes
    Then it gives <result>
    And the caller has "hello"
    And the answer is whole

    Examples:
      | name       | request | offset | text  | finish | result |
      | the next   | r1      | 5      | _worl |        | late   |
      | far beyond | r1      | 50     | _worl |        | late   |
      | a repeat   | r1      | 0      | hello |        | late   |
      | the end    | r1      | 5      |       | stop   | late   |
      | a stray    | r2      | 0      | x     |        | stray  |

  Scenario: an answer without its last piece is not whole
    The engine's connection ends after "hello".  For a caller that does not
    stream, nothing was sent yet; the truncated answer must not be sent.
    Given an answer of request "r1" with "hello" relayed
    Then the answer is not whole

  Scenario: pieces in any order and of any kind
    A state machine truncates, repeats, mixes up, drops and alters pieces.
    The relayed text must always be a prefix of the caller's answer, and the
    answer may count as whole only when all of it was relayed.
    When the machine "AssemblerMachine" runs
    Then both invariants were checked
