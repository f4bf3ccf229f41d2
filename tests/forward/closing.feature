Feature: A daemon that stops answers the requests that have arrived

  Scenario Outline: <what> as the daemon closes its idle connections
    Guards against requests that get no answer and no line of the log around a
    stop: bytes that had arrived and were not yet read were thrown away.

    Given a daemon with a kept connection
    When <what> as the daemon closes its idle connections
    Then the caller gets a whole answer, after which the connection is closed

    Examples:
      | what                                  |
      | a request has arrived                 |
      | the head of a request has arrived     |
      | the head of a request has been read   |
      | a part of the head has been read      |

  Scenario: nothing has arrived as the daemon closes its idle connections
    Guards against a stop that waits for callers that send nothing.

    Given a daemon with a kept connection
    When nothing has arrived as the daemon closes its idle connections
    Then the caller's connection ends within 0.2 s
