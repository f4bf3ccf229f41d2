Feature: A connection that breaks never looks like the end of a response
  The kernel reports a reset to one call only; reads after that return no
  bytes, as after a proper end.  A response without a length ends with its
  connection, so a part of it would pass for the whole.

  Scenario Outline: the upstream resets its connection, and <touch> meets it
    Guards against a reset that is dropped where it is met: the next read would
    see a proper end.

    Given a connection on which an upstream has sent a part of its response
    When the upstream resets it, and <touch> meets the reset
    Then each read after the part reports that

    Examples:
      | touch            |
      | a read           |
      | a check for data |
      | a send           |
      | a write          |

  Scenario: the kernel gives up a connection since the upstream reads nothing
    Guards against the kernel's timeout taken for that of a read: reading on
    would see a proper end.

    Given a connection on which an upstream has sent a part of its response
    When the upstream reads nothing until the kernel gives it up
    Then each read after the part reports that

  Scenario Outline: a silent runner <first> is reset while another is asked
    Guards against a part that ends as complete: the silent connection is
    checked for data before it is read.

    Given runners of which the first "<first>" and the next "<second>"
    When its kind of request is sent
    Then within 2 s it has a whole answer
    And each runner got at most one request, and no load is left

    Examples: direct connections
      | first                     | second          |
      | unframed_rests_and_resets | pauses_at_first |
      | rests_unframed_and_resets | takes_a_second  |

  Scenario Outline: the same through another daemon, runner <first>
    Guards against the same where a relay meets the reset.

    Given runners of which the first "<first>" and the next "<second>"
    And they are reached through other daemons
    When its kind of request is sent
    Then within 2.5 s it has a whole answer
    And each runner got at most one request, and no load is left

    Examples: relayed connections
      | first                     | second          |
      | unframed_rests_and_resets | pauses_at_first |
      | rests_unframed_and_resets | takes_a_second  |

  Scenario Outline: a runner <way> before it has read the request, <links>
    Guards against half a response that passes for the whole: the task that
    still sends the request meets the reset, or the one that reads.
    Pattern of load: 20 requests of 400 KB, one after another.

    Given a runner with room for 8 KB unread that "<way>", <links>
    When 20 bodies of 400 KB are sent to /once/thing
    Then each of them gets <status>

    Examples:
      | way                  | links               | status |
      | early_unframed_resets | directly            | 502    |
      | early_unframed_resets | through other daemons | 502    |
      | early_unframed        | directly            | 200    |
      | early_unframed        | through other daemons | 200    |

  Scenario Outline: a runner <first>, and the daemon stands still meanwhile
    Guards against a part that ends as complete: by the time that the daemon
    looks the runner has started again.

    Given runners of which the first "<first>" and the next "<second>"
    When its kind of request is sent
    Then within 2 s it has a whole answer
    And each runner got at most one request, and no load is left

    Examples:
      | first                        | second |
      | unframed_restarts_in_a_pause | stream |
      | restarts_unframed_in_a_pause | whole  |

  Scenario: the same, and the request may run once only
    Guards against the same where no other runner may be asked.

    Given a daemon in front of a plain runner that "restarts_unframed_in_a_pause"
    When a caller calls /once/thing
    Then it gets 502, and 1 runs were made

  Scenario Outline: a response to <method> <path> is <how> at each byte of its head
    Guards against an empty response that passes for the whole, where nothing
    is to follow the head.

    Given a runner that "cut_in_its_head"
    When its response to <method> <path> is <how> after each byte of the head
    Then no caller gets 200

    Examples:
      | method | path        | how    |
      | GET    | /any/thing  | closed |
      | HEAD   | /any/thing  | closed |
      | HEAD   | /any/thing  | reset  |
      | POST   | /once/thing | closed |
      | POST   | /once/thing | reset  |
      | POST   | /stream/a   | closed |
      | POST   | /stream/a   | reset  |
