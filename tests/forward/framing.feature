Feature: Ambiguously framed requests are rejected
  Guards against request smuggling: the bytes after such a request could run
  as another caller's request.

  Scenario Outline: <what>
    Given a daemon in front of a plain runner
    When a caller sends "<what>"
    Then the first response is <status> and the connection is closed
    And the runner has received <seen> requests

    Examples:
      | what                               | status | seen |
      | a valid request                    | 200    | 1    |
      | two lengths that differ            | 400    | 0    |
      | a space before the colon           | 400    | 0    |
      | a length and a transfer coding     | 400    | 0    |
      | a chunk longer than its size       | 400    | 0    |
      | a chunk size that is not a number  | 400    | 0    |
      | a negative chunk size              | 400    | 0    |
      | a header too large                 | 431    | 0    |
      | a body too large                   | 413    | 0    |
      | a header line that starts with NUL | 400    | 0    |
      | bytes that are not HTTP            | 400    | 0    |
      | CONNECT                            | 400    | 0    |
      | two transfer codings               | 501    | 0    |
      | no host                            | 400    | 0    |
      | two hosts                          | 400    | 0    |

  Scenario: two pipelined requests are answered in order
    Given a daemon in front of a plain runner
    When a caller sends two requests at once
    Then both are answered, in order

  Scenario: a caller that sends its header byte by byte is disconnected
    Guards against slow callers that hold connections open forever.

    Given a daemon in front of a plain runner
    When a caller sends a byte every 0.1 s
    Then the connection is closed within 1.5 s

  Scenario: random pipelined requests in random pieces, some malformed
    The requests that reach the handler are those of the model, up to the
    first malformed one.

    When 400 seeded sequences of requests are sent in pieces
    Then none differs from the model

  Scenario: an unknown HTTP version is rejected
    Its framing may differ from that of HTTP/1.1.

    Given a daemon in front of a plain runner
    When a caller sends "a request of HTTP/9.9"
    Then the first response is 505 and the connection is closed
    And the runner has received 0 requests
