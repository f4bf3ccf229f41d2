Feature: Callers that read slowly hold up nobody
  What a caller has not read waits in a buffer of its own. All buffers of a
  daemon share one budget. Times exclude those for which the whole process,
  which holds callers, daemon and runners, did not run.

  Scenario Outline: <slow> callers read <speed> until <rest> s after their streams' end
    Guards against an upstream whose response stays unread, and is cut off,
    since one of its callers lags. Pattern of load: streams of 200 KB a second
    each that begin together, of which two thirds lag.

    Given a daemon with 4000 KB for what callers have not read
    And streams of 50 events of 4096 bytes, one each 20 ms
    When <slow> callers read <speed> until <rest> s after their streams' end, beside 10 that read at once
    Then those that read at once have all events, with no pause over 0.2 s
    And the others have all events in order, once, and a proper end
    And no upstream saw a response unread for 1 s
    And what callers had not read was never over the budget, and is 0 bytes now

    Examples:
      | slow | speed                    | rest |
      | 1    | at a tenth of that speed | 0    |
      | 20   | at a tenth of that speed | 0    |
      | 20   | nothing                  | 1    |

  Scenario: the budget is used up
    Guards against memory that grows with the callers that lag, and against a
    caller that is ended and takes a part for the whole. Pattern of load: as
    above.

    Given a daemon with 1000 KB for what callers have not read
    And streams of 50 events of 4096 bytes, one each 20 ms
    When 20 callers read nothing until 1 s after their streams' end, beside 10 that read at once
    Then those that read at once have all events, with no pause over 0.2 s
    And each of the others has all events, or a part in order without an end
    And a line tells of each that was ended, by the memory
    And no upstream saw a response unread for 1 s
    And what callers had not read was never over the budget, and is 0 bytes now

  Scenario: one caller holds most for longest
    Guards against ending callers that have only just begun to lag.

    Given a budget of 1000 bytes for what callers have not read
    When these callers take bytes
      | caller | size | at   |
      | first  | 300  | 0    |
      | second | 400  | 900  |
      | third  | 250  | 1000 |
      | fourth | 100  | 1000 |
    Then the callers ended are first
    And 750 bytes are used

  Scenario: one answer is larger than the budget
    Guards against callers that are all ended for one that can't be kept.

    Given a budget of 1000 bytes for what callers have not read
    When these callers take bytes
      | caller | size | at   |
      | first  | 300  | 0    |
      | second | 1100 | 1    |
    Then the callers ended are second
    And 300 bytes are used

  Scenario Outline: callers stop reading answers of 1 MB
    Guards against an upstream that is held by a caller, and against buffers
    that are kept for callers that never read. Pattern of load: 8 requests
    together.

    Given a daemon with 16000 KB for what callers have not read
    And a plain runner with answers of 1000 KB
    When 8 callers ask for them and read nothing, and <then>
    Then the runner is free within 1 s
    And the callers are ended <when>, and 0 bytes are kept
    And a line tells of each that was ended <why>

    Examples:
      | then      | when                        | why                   |
      | stay      | 10 s after the last byte    | since it did not read |
      | leave     | within 0.5 s of its leaving | by itself             |

  Scenario: a caller lags as it pipelines its next request
    Guards against two answers whose bytes are mixed in a buffer.

    Given a daemon with 16000 KB for what callers have not read
    And a plain runner with answers of 1000 KB
    When two requests come on one connection, whose caller reads late
    Then it gets both answers whole, one after the other

  Scenario: a daemon stops as callers lag
    Guards against a stop that cuts answers that are ready.

    Given a daemon with 16000 KB for what callers have not read
    And a plain runner with answers of 1000 KB
    When 4 callers ask for them and read on 0.5 s after the daemon was stopped
    Then each has a whole answer, and no connection is open

  Scenario: the last bytes of an answer are read late
    Guards against a reset that discards what the kernel still holds for a
    caller, once its connection has been at its end for a second.

    Given a daemon with 16000 KB for what callers have not read
    And a plain runner with answers of 40 KB
    When a caller asks for a last answer, and reads it 2 s later
    Then each has a whole answer, and no connection is open
