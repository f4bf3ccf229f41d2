Feature: An upstream that falls silent may still answer
  A replica that pauses for a second can't be told from one that is lost.
  Another upstream is tried, and the first one is not left before another one
  has something for the caller.

  Scenario Outline: a runner <first>, and the other one <second>
    Guards against answers that end by a pause alone: the first connection was
    closed before it was known that the other upstream works.

    Given runners of which the first "<first>" and the next "<second>"
    When its kind of request is sent
    Then it gets the whole answer of the first runner
    And each runner got at most one request, and no load is left

    Examples:
      | first              | second     |
      | rests_at_first       | turns_away |
      | rests_at_first       | resets     |
      | rests_at_first       | silent     |
      | rests_at_first       | refuses    |
      | rests_at_first       | is_another |
      | rests_after_its_head | turns_away |
      | rests_after_its_head | resets     |
      | rests_after_its_head | silent     |
      | rests_after_its_head | refuses    |
      | rests_after_its_head | is_another |
      | rests_after_three    | turns_away |
      | rests_after_three    | resets     |
      | rests_after_three    | silent     |
      | rests_after_three    | refuses    |
      | rests_after_three    | is_another |
      | rests_in_an_event    | turns_away |
      | rests_in_an_event    | silent     |
      | rests_and_is_whole   | turns_away |
      | rests_and_is_whole   | resets     |
      | rests_and_is_whole   | silent     |
      | rests_and_is_whole   | refuses    |
      | rests_and_is_whole   | is_another |
      | rests_in_its_body    | turns_away |
      | rests_in_its_body    | silent     |
      | rests_after_three    | fails        |
      | rests_at_first       | falsely_busy |

  Scenario Outline: a runner never goes on, and the other one works
    Guards against waiting for a lost upstream: the answer comes from the
    other one as soon as before.

    Given runners of which the first "<first>" and the next "<second>"
    When its kind of request is sent
    Then within 1 s it has a whole answer, and the first one is closed
    And each runner got at most one request, and no load is left

    Examples:
      | first              | second |
      | silent_after_three | stream |
      | silent             | stream |
      | silent             | whole  |

  Scenario Outline: a silent runner <first> while the other one is at work
    Guards against the loss of the second upstream: what the first one sends
    late is not an answer.

    Given runners of which the first "<first>" and the next "<second>"
    When its kind of request is sent
    Then it gets the whole answer of the second runner
    And each runner got at most one request, and no load is left

    Examples:
      | first           | second          |
      | turns_away_late | pauses_at_first |
      | fails_late      | pauses_at_first |
      | closes_late     | pauses_at_first |
      | turns_away_late | takes_a_second  |
      | fails_late      | takes_a_second  |
      | closes_late     | takes_a_second  |

  Scenario: the other runner rejects, and a third one works
    Guards against waiting for the first one while another can be tried.

    Given runners of which the first "silent_after_three" and the next "turns_away, stream"
    When its kind of request is sent
    Then within 1 s it has a whole answer, and the first one is closed
    And each runner got at most one request, and no load is left

  Scenario: a rejection takes the last retry of the budget
    Guards against a budget that is spent by a rejection: a third runner may
    not be tried, and the first one still answers.

    Given runners of which the first "rests_after_three" and the next "turns_away, stream"
    And one retry is left in the budget
    When its kind of request is sent
    Then it gets the whole answer of the first runner
    And the last runner got no request
    And each runner got at most one request, and no load is left

  Scenario: more runners reject than may be asked
    Guards against the end of an answer by the limit of rejections.

    Given runners of which the first "rests_after_three" and the next "turns_away, turns_away, turns_away, turns_away, stream"
    When its kind of request is sent
    Then it gets the whole answer of the first runner
    And each runner got at most one request, and no load is left

  Scenario: a runner has room when asked, and none when chosen
    Guards against the end of an answer between the question whether another
    upstream has room and its choice: each draws chance anew.

    Given runners of which the first "rests_after_three" and the next "stream"
    And a runner that has room is full when it is chosen next
    When its kind of request is sent
    Then it gets the whole answer of the first runner
    And each runner got at most one request, and no load is left

  Scenario Outline: a caller disconnects while two runners are silent
    Guards against work for a caller that has left.

    Given runners of which the first "<first>" and the next "silent"
    When the caller of its kind of request disconnects after 0.8 s
    Then within 0.5 s both runners see their connections closed
    And each runner got at most one request, and no load is left

    Examples:
      | first              |
      | silent_after_three |
      | silent             |

  Scenario: a silent runner's request may run once
    Guards against a second run.

    Given runners of which the first "rests_and_is_whole" and the next "whole"
    When a caller calls /once/thing
    Then it gets the whole answer of the first runner
    And the last runner got no request
    And each runner got at most one request, and no load is left

  Scenario Outline: an upstream is silent in 4 requests and goes on
    Guards against an upstream that gets no more requests since it paused:
    three failures open its circuit, and a silence is none before another
    upstream has answered.

    Given runners of which the first "<first>" and the next "turns_away"
    When 4 requests of its kind are sent at once
    Then each gets the whole answer of the first runner
    And the first runner is not passed over

    Examples:
      | first              |
      | rests_after_three  |
      | rests_and_is_whole |

  Scenario: a third runner opens while the first one is read again
    Guards against waiting for a lost upstream after a rejection: the run that
    is under way must not be counted twice.

    Given runners of which the first "silent_after_three" and the next "turns_away, stream"
    And a request may run on two runners, and the last one opens 0.8 s later
    When its kind of request is sent
    Then within 1.3 s it has a whole answer, and the first one is closed
    And each runner got at most one request, and no load is left

  Scenario: a silent runner is reached through another daemon
    The connection to the other daemon is kept as a direct one is.

    Given runners of which the first "rests_after_three" and the next "turns_away"
    And they are reached through other daemons
    When its kind of request is sent
    Then it gets the whole answer of the first runner
    And each runner got at most one request, and no load is left

  Scenario: the only other daemon is not asked again after a silence
    Guards against the end of an answer that still arrives through it: no
    second upstream can be reached.

    Given runners of which the first "rests_after_three" and the next "stream"
    And they are reached through one other daemon
    When its kind of request is sent
    Then it gets the whole answer of the first runner
    And each runner got at most one request, and no load is left

  Scenario: all links are lost while a runner is silent
    Guards against a caller that waits where nothing can arrive: it is
    answered as soon as before, and can ask another daemon.

    Given a daemon with links to two upstreams that "silent", and one with links
    And at the other daemon all links are cut
    When the links are lost while a caller calls /any/thing
    Then it is answered 502 within 1.5 s

  Scenario: a silent runner is reached through another daemon and given up
    Guards against work at a runner that another one has replaced.

    Given runners of which the first "silent_after_three" and the next "stream"
    And they are reached through other daemons
    When its kind of request is sent
    Then within 1 s it has a whole answer, and the first one is closed
    And each runner got at most one request, and no load is left

  Scenario: what a silent request has ended with is logged
    Guards against logs that say of an answered request that its try stalled.

    Given runners of which the first "rests_after_three" and the next "silent"
    When its kind of request is sent
    Then its endings are "DELIVERED, OVERTAKEN"

  Scenario Outline: three <kind> behave in any way, one after another
    Guards against lost, repeated and mixed events, and against requests that
    stay behind at runners, in any order of silence and failure.

    When requests are sent to each three <kind> out of all ways
    Then each caller gets events in order, and a proper end only after the last
    And each runner got at most one request, and nothing stays behind

    Examples:
      | kind          |
      | heads         |
      | plain runners |

  Scenario: a runner skips an event within a chunk
    Guards against the loss of the event before: it was taken for sent as it
    was read, and the next runner was asked for what follows it.

    Given runners of which the first "skips_in_a_chunk" and the next "stream"
    When its kind of request is sent
    Then within 1 s it has a whole answer
