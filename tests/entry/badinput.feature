Feature: Invalid input is refused with a precise error
  Invalid input must get a typed refusal that says that the work did not
  run, and must leave no request in the daemon.

  Scenario Outline: an invalid chat request
    When a caller sends a chat request with <mistake>
    Then it is refused with <status> "<kind>", naming "<named>", not run

    Examples:
      | mistake                | status | kind          | named           |
      | a body that isn't JSON | 400    | malformed     | JSON            |
      | an empty body          | 400    | malformed     | chat request    |
      | no messages            | 400    | malformed     | messages        |
      | empty messages         | 400    | malformed     | messages        |
      | a number as content    | 400    | malformed     | content         |
      | no tokens              | 400    | malformed     | max_tokens      |
      | too many tokens        | 400    | malformed     | max_tokens      |
      | a body too large       | 413    | too-large     | 1048576         |
      | an unknown model       | 404    | not-found     | no-such-model   |
      | no token               | 401    | unknown-token | no bearer token |
      | a wrong token          | 401    | unknown-token | this token      |
      | a deadline of soon     | 400    | malformed     | X-Deadline-Ms   |
      | a deadline of 0        | 400    | malformed     | X-Deadline-Ms   |
      | a deadline of -5       | 400    | malformed     | X-Deadline-Ms   |
      | a deadline of 99999999 | 400    | malformed     | X-Deadline-Ms   |
      | a wrong path           | 404    | not-found     | /v1/nothing     |
      | a wrong method         | 404    | not-found     | GET             |

  Scenario Outline: an invalid request to a plain service
    When a caller sends a service request with <mistake>
    Then it is refused with <status> "<kind>", naming "<named>", not run

    Examples:
      | mistake            | status | kind      | named           |
      | an unknown name    | 404    | not-found | nothing         |
      | a key too long     | 400    | malformed | Idempotency-Key |
      | a body too large   | 413    | too-large | 1048576         |
      | a deadline of soon | 400    | malformed | X-Deadline-Ms   |

  Scenario Outline: a repeated request is refused before its key is looked up
    The first attempt ran at another daemon and its response was lost.  If
    the refusal said "not run", the caller would order a second certificate.
    When a caller sends a service request with a key and <mistake>
    Then the refusal says that it may have run

    Examples:
      | mistake            |
      | an unknown name    |
      | a deadline of soon |
      | a wrong token      |
      | a body too large   |

  Scenario Outline: bytes that are not an HTTP request
    When a caller sends raw <bytes>
    Then the daemon answers with an error 400

    Examples:
      | bytes              |
      | junk               |
      | a long header      |
      | a wrong length     |
      | a negative length  |

  Scenario: a body that ends early
    When a caller sends part of its body and disconnects
    Then the daemon still answers other callers
