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

  Scenario Outline: a caller has <what> as the daemon stops listening
    Guards against a stop that resets connections that are not accepted yet,
    or closes a new one before its first request.

    Given a daemon with a kept connection
    When a caller has <what> as the daemon stops listening
    Then the caller gets a whole answer, after which the connection is closed

    Examples:
      | what                                               |
      | connected and sent a request                       |
      | connected, and sends its request 0.2 s later       |
      | been accepted, and sends its request 0.2 s later   |

  Scenario: a caller has connected, and sends its request late
    Guards against requests that are taken so late after SIGTERM that the
    grace ends before they do.

    Given a daemon with a kept connection
    When a caller has connected, and sends its request 0.6 s later as the daemon stops listening
    Then the caller gets no answer, and its request has not run

  Scenario: a caller that has connected sends nothing as the daemon stops
    Guards against a stop that waits for a caller that sends nothing.

    Given a daemon with a kept connection
    When a caller has connected as the daemon stops listening
    Then no connection is open within 1.2 s

  Scenario: nothing has arrived as the daemon closes its idle connections
    Guards against a stop that waits for callers that send nothing.

    Given a daemon with a kept connection
    When nothing has arrived as the daemon closes its idle connections
    Then the caller's connection ends within 0.2 s

  Scenario Outline: the idle limit changes from 0.5 s to <limit> s in between
    Guards against connections that are closed by an older limit: callers keep
    them for four fifths of the limit in force.

    Given a daemon with a kept connection, and an idle limit of 0.5 s
    When the limit becomes <limit> s, and a request follows <pause> s later
    Then the caller gets a whole answer

    Examples:
      | limit | pause |
      | 3.0   | 2.2   |
      | 0.5   | 0.4   |
      | 0.1   | 0.08  |

  Scenario: the idle limit passes
    Guards against connections that stay open without a request.

    Given a daemon with a kept connection, and an idle limit of 0.5 s
    When nothing has arrived within 1.3 s
    Then the caller's connection ends within 0.5 s

  Scenario Outline: the daemon stands still for 0.6 s as <what> arrives
    Guards against a daemon that takes its own pause for a silent caller: as
    it goes on, a timer is due and the bytes are unread.

    Given a daemon with a kept connection that has read <read>
    When the daemon stands still for 0.6 s as <what> arrives
    Then the caller gets a whole answer

    Examples:
      | read               | what       |
      | a part of the head | the rest   |
      | the whole head     | the body   |

  Scenario Outline: a caller sends <part> and nothing more
    Guards against a connection that the daemon ends in the middle of a
    request, of which no line of the log tells.

    Given a daemon with a kept connection that has read <part>
    When 0.6 s pass
    Then the daemon has ended the connection
    And one line says that a request was not read since it was <why>

    Examples:
      | part               | why       |
      | a part of the head | too slow  |
      | the whole head     | too slow  |
      | a malformed head   | malformed |

  Scenario: a caller keeps a connection and sends nothing
    Guards against a line for each connection that is closed in order.

    Given a daemon with a kept connection, and an idle limit of 0.1 s
    When 1.2 s pass
    Then the caller's connection ends within 0.2 s
    And no line says that a request was not read
