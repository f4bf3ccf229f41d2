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

  Scenario Outline: the daemon stops listening in an answer to <path>
    Guards against requests that are taken on a kept connection when no more
    are: the process ends before they do, and their answers are cut.  The
    answer in progress began before the stop, so that its head announces no
    end of the connection.

    Given a daemon in front of a plain runner and a head
    When the daemon stops listening in an answer of a "<way>" to <path>
    Then its caller's next request on the connection has not run
    And the first answer was whole, and the connection is closed

    Examples:
      | path        | way                |
      | /any/thing  | rests_in_its_body  |
      | /once/thing | rests_in_its_body  |
      | /stream/a   | pauses_after_three |

  Scenario: a daemon that is to stop still listens
    Guards against connections that are closed without need, while the balancer
    still sends callers.

    Given a daemon in front of a plain runner and a head
    When the daemon is to stop in an answer of a "pauses_after_three" to /stream/a
    Then its caller's next request on the connection is answered
    And the first answer was whole, and the connection is closed

  Scenario Outline: the rest of a request comes <seconds> s after the last connection
    Guards against a request that is read so late that the process may end
    before its answer.

    Given a daemon that has read the whole head, and waits 2 s for the rest
    When the daemon stops listening, and the rest comes <seconds> s later
    Then the answer is <status>, after which the connection is closed

    Examples:
      | seconds | status |
      | 0.1     | 200    |
      | 0.6     | 503    |

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
