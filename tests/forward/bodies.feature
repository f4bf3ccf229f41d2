Feature: Bodies of requests are read within bounds

  Scenario: a body that never ends, from a caller that names a deadline
    Guards against a body that holds memory for as long as its caller likes,
    as each byte gives it more time.

    Given a daemon in front of a plain runner
    When a caller names a deadline of 600 ms and sends a byte every 0.1 s
    Then it is refused with 408 as not run, and the connection is closed
    And the runner has received 0 requests

  Scenario: a body that never ends, from a caller that names no deadline
    Guards against the same where only the daemon's limit ends it.

    Given a daemon in front of a plain runner, and bodies of 600 ms at most
    When a caller sends a byte every 0.1 s as the body
    Then it is refused with 408 as not run, and the connection is closed
    And the runner has received 0 requests

  Scenario: the body that holds most for longest gives way
    Guards against unfinished bodies that use up the memory, so that the next
    caller is refused.

    Given a daemon in front of a plain runner, and 300 KB for all bodies
    When a caller sends 250 KB of a body and waits
    And another caller sends a body of 100 KB
    Then the other caller gets a whole answer
    And the first caller is refused with 503 as not run

  Scenario Outline: a chunked body with <what>, in pieces of any size
    Guards against framing that another intermediary reads differently.

    When a chunked body with <what> is decoded in pieces of any size
    Then its content is <content>

    Examples: bodies
      | what                           | content    |
      | chunks of mixed sizes          | abcdefghij |
      | many chunks of one byte        | x1000      |
      | many chunks of one size        | x3000      |
      | one size, and then another one | x2001      |
      | an extension                   | abc        |
      | sizes with leading zeros       | abc        |
      | trailers                       | abc        |

    Examples: no bodies
      | what                               | content |
      | a size line that ends with LF      | refused |
      | content that ends with LF          | refused |
      | a chunk longer than its size       | refused |
      | a size with a sign                 | refused |
      | a size with a prefix               | refused |
      | no size                            | refused |
      | an extension with NUL              | refused |
      | an extension that is too long      | refused |
      | a trailer without a colon          | refused |
      | a trailer that ends with LF        | refused |
      | too many trailers                  | refused |
      | a wrong end in many chunks of a size | refused |
