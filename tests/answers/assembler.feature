Feature: A caller gets its own answer, whole and in order
  An engine that repeats, drops or crosses pieces, or ends too soon, must
  never show in a caller's answer: a certificate with a sentence missing
  reads like a whole one.

  Scenario Outline: a piece after "hello" is <name>
    The caller has five characters when an engine sends this piece next,
    on the same connection or on a resumed one.  What the caller then has
    must be a beginning of its answer "hello world", whatever was sent.
    Given an answer of request "r1" with "hello" relayed
    When the piece <request>, <offset>, "<text>", "<finish>" comes
    Then it gives <result>
    And the caller has "<has>"

    Examples: pieces that are passed on, wholly or in part
      | name              | request | offset | text   | finish | result | has         |
      | the next one      | r1      | 5      | _worl  |        | text   | hello_worl  |
      | empty             | r1      | 5      |        |        | text   | hello       |
      | the last one      | r1      | 5      |        | stop   | text   | hello       |
      | last, with text   | r1      | 5      | _worl  | stop   | text   | hello_worl  |
      | a repeat          | r1      | 0      | hello  |        | text   | hello       |
      | an inner repeat   | r1      | 1      | ell    |        | text   | hello       |
      | a longer repeat   | r1      | 3      | lo_wor |        | text   | hello_wor   |
      | a repeated end    | r1      | 3      | lo_wor | stop   | text   | hello_wor   |

    Examples: pieces of which nothing may pass
      | name              | request | offset | text   | finish | result    | has   |
      | of another        | r2      | 5      | _worl  |        | stray     | hello |
      | another's end     | r2      | 5      |        | stop   | stray     | hello |
      | after a gap       | r1      | 6      | worl   |        | gap       | hello |
      | an end beyond     | r1      | 9      |        | stop   | gap       | hello |
      | another beginning | r1      | 0      | jello  |        | diverged  | hello |
      | a longer other    | r1      | 3      | xx_wor |        | diverged  | hello |
      | an end too soon   | r1      | 3      |        | stop   | diverged  | hello |
      | before the start  | r1      | -1     | x      |        | malformed | hello |

  Scenario Outline: after the end a piece is <name>
    The caller's answer has ended.  A piece that comes then, on whichever
    connection, can add nothing, since the caller has stopped reading.
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
    The engine's connection ends after "hello".  The caller did not ask to
    stream, so nothing was sent yet; an answer cut short must not go out.
    Given an answer of request "r1" with "hello" relayed
    Then the answer is not whole

  Scenario: any engine that misbehaves
    A machine cuts, repeats, crosses, drops and alters pieces in any order.
    Whatever comes, the caller has a beginning of its own answer, and the
    answer counts as whole only when all of it was relayed.
    When the machine "AssemblerMachine" runs
    Then both promises were looked at
