Feature: Clients that break the limits don't end or hang a process
  A crowd is a process of its own. Each row starts a daemon anew.

  Scenario Outline: <count> clients send <way> to the <port> of the users' interface
    Guards against a daemon that runs out of memory or descriptors, or that
    serves nobody, as clients send as much as they may, or more.

    Given a daemon of the users' interface that may take 100 MB and 400 descriptors, with bodies of 1 MiB
    When <count> clients send <way> to its <port> for 6 s
    Then the daemon runs
    And it has taken at most 100 MB and 400 descriptors
    And an ordinary request is answered

    Examples: callers
      | count | way                                      | port    |
      | 95    | whole bodies                             | callers |
      | 95    | bodies short of a byte                   | callers |
      | 95    | bodies in pieces, short of a byte        | callers |
      | 95    | whole bodies in one chunk                | callers |
      | 95    | bodies in one chunk, short of a byte     | callers |
      | 20    | bodies in chunks of one byte             | callers |
      | 20    | bodies in chunks of one byte, unfinished | callers |
      | 95    | bodies that drip                         | callers |
      | 95    | chunked bodies that drip                 | callers |
      | 500   | nothing                                  | callers |
      | 500   | long heads without an end                | callers |
      | 500   | heads that drip                          | callers |

    Examples: other ports
      | count | way                          | port      |
      | 500   | nothing                      | operators |
      | 500   | long heads without an end    | operators |
      | 500   | heads that drip              | operators |
      | 500   | nothing                      | relay     |
      | 300   | frames short of a byte       | relay     |
      | 300   | frames that drip             | relay     |
      | 500   | nothing                      | peers     |
      | 500   | greetings only               | peers     |
      | 2     | messages without a last part | peers     |

    @byhand
    Examples: by hand, since these held before
      | count | way                               | port      |
      | 95    | bodies of 1 GB, announced         | callers   |
      | 95    | bodies of 1 GB, not announced     | callers   |
      | 95    | requests behind an unanswered one | callers   |
      | 95    | bodies short of a byte            | operators |
      | 95    | bodies of 1 GB, announced         | operators |
      | 20    | bodies in chunks of one byte      | operators |
      | 500   | no requests                       | relay     |
      | 500   | no requests                       | peers     |

  Scenario Outline: <count> clients send <way>, and callers may read slowly
    Guards against the same where what callers have not read is buffered.

    Given a daemon of the users' interface for slow readers that may take 100 MB and 400 descriptors, with bodies of 1 MiB
    When <count> clients send <way> to its callers for 6 s
    Then the daemon runs
    And it has taken at most 100 MB and 400 descriptors
    And an ordinary request is answered

    Examples:
      | count | way                                      |
      | 95    | whole bodies                             |
      | 20    | bodies in chunks of one byte, unfinished |

    @byhand
    Examples: by hand, since these held before
      | count | way                                  |
      | 95    | bodies short of a byte               |
      | 95    | bodies in one chunk, short of a byte |

  Scenario Outline: an ordinary request beside <count> clients that send <way> to the users' interface
    Guards against clients that keep all others out for as long as they like.

    Given a daemon of the users' interface <for> that may take 100 MB and 400 descriptors, with bodies of 1 MiB
    When <count> clients send <way> to its callers and go on
    Then an ordinary request is answered
    And the daemon runs
    And it has taken at most 100 MB and 400 descriptors

    Examples:
      | count | way                          | for              |
      | 150   | bodies that drip             | as it is         |
      | 20    | bodies in chunks of one byte | as it is         |

    @byhand
    Examples: by hand, since these held before
      | count | way                      | for              |
      | 95    | bodies that drip         | for slow readers |
      | 95    | chunked bodies that drip | for slow readers |

  Scenario Outline: <count> clients send <way> to the <port> of the project's interface
    Guards against the same at the project's own interface.

    Given a daemon of the project's interface
    When <count> clients send <way> to its <port> for 6 s
    Then the daemon runs
    And it has taken at most 256 MB and 2048 descriptors
    And an ordinary request is answered

    Examples:
      | count | way                                  | port    |
      | 300   | bodies short of a byte               | callers |
      | 300   | bodies in pieces, short of a byte    | callers |
      | 300   | bodies in one chunk, short of a byte | callers |
      | 300   | bodies that drip                     | callers |
      | 300   | chunked bodies that drip             | callers |
      | 2     | messages without a last part         | peers   |

    @byhand
    Examples: by hand, since these held before
      | count | way                                      | port      |
      | 300   | whole bodies                             | callers   |
      | 20    | bodies in chunks of one byte             | callers   |
      | 20    | bodies in chunks of one byte, unfinished | callers   |
      | 300   | bodies of 1 GB, announced                | callers   |
      | 300   | bodies of 1 GB, not announced            | callers   |
      | 500   | long heads without an end                | callers   |
      | 500   | long heads without an end                | operators |
      | 300   | bodies short of a byte                   | operators |
      | 300   | bodies of 1 GB, announced                | operators |
      | 20    | bodies in chunks of one byte             | operators |
      | 500   | nothing                                  | peers     |

  @byhand
  Scenario: an ordinary request beside 20 clients that send chunks of one byte to the project's interface
    Guards against clients that keep all others out for as long as they like.

    Given a daemon of the project's interface
    When 20 clients send bodies in chunks of one byte to its callers and go on
    Then an ordinary request is answered
    And the daemon runs
    And it has taken at most 256 MB and 2048 descriptors

  Scenario Outline: one body of 4 MiB in <way>, in calm
    Guards against a framing inside the limits that is not served.

    Given a daemon of the users' interface that may take 300 MB and 4100 descriptors, with bodies of 4 MiB
    When a client sends a body of 4 MiB in <way>
    Then it is answered with success

    Examples:
      | way                |
      | chunks of one byte |

    @byhand
    Examples: by hand, since these held before
      | way                           |
      | one piece                     |
      | pieces of 16 KB               |
      | one chunk                     |
      | chunks of 64 KiB              |
      | chunks of 100 bytes           |
      | chunks of 3 bytes             |
      | chunks of one and of two bytes |
