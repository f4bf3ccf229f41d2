Feature: Requests get one complete response, or a correct refusal
  Guards against partial, duplicated and misattributed responses when runners
  disconnect, answer late, answer another request, or don't answer.

  Scenario Outline: a stream whose first runner <way>
    Guards against lost and repeated events: the stream is resumed at another
    runner after the last complete event.

    Given two heads, of which the first "<way>"
    When a caller asks for a stream
    Then it gets 6 events in order and a proper end

    Examples:
      | way                | 
      | stream             |
      | cut_in_an_event    |
      | silent_after_three |
      | skips_an_event     |
      | closes             |
      | silent             |
      | turns_away         |
      | fails              |
      | no_http            |
      | unsealed           |

  Scenario Outline: a stream without a length whose first runner <way>
    Guards against a part of a stream that looks complete, since its end is
    that of its connection.

    Given two heads, of which the first "<way>"
    When a caller asks for a stream
    Then it gets 6 events in order and a proper end

    Examples:
      | way                                |
      | unframed_stream                    |
      | unframed_cut_in_an_event           |
      | unframed_cut_before_the_blank_line |
      | unframed_pauses_and_is_cut         |
      | unframed_crashes                   |
      | unframed_pauses_and_crashes        |
      | unframed_resets                    |

  Scenario Outline: both runners of a stream without a length <way>
    Guards against the same where no other runner can go on, also when the
    one that breaks off had resumed the stream.

    Given two heads, of which both "<way>"
    When a caller asks for a stream
    Then it gets <events> events and no proper end

    Examples:
      | way                                | events |
      | unframed_cut_in_an_event           | 3      |
      | unframed_cut_before_the_blank_line | 5      |
      | unframed_pauses_and_is_cut         | 3      |
      | unframed_crashes                   | 3      |
      | unframed_resets                    | 3      |

  Scenario: a stream that no runner can finish does not look complete
    Both runners disconnect; the caller must not take the part that it has
    for the whole.

    Given two heads, of which both "cut_in_an_event"
    When a caller asks for a stream
    Then it gets 3 events and no proper end

  Scenario Outline: an idempotent request, runner <way>
    Given two plain runners, of which the first "<way>"
    When a caller calls /any/thing
    Then it gets 200 with the complete body of a runner

    Examples:
      | way                   |
      | whole                 |
      | cut_short             |
      | closes                |
      | silent                |
      | turns_away            |
      | fails                 |
      | no_http               |
      | unsealed              |
      | answers_another_first |
      | unframed              |
      | crashes_unframed      |
      | resets_unframed       |

  Scenario Outline: an at-most-once request, runner <way>
    Guards against a second run. A request that may have run is not retried;
    its response has no status that implies "not run".

    Given two plain runners, of which both "<way>"
    When a caller calls /once/thing
    Then it gets <status>, and <runs> runs were made

    Examples:
      | way                   | status | runs |
      | whole                 | 200    | 1    |
      | cut_short             | 502    | 1    |
      | closes                | 502    | 1    |
      | no_http               | 502    | 1    |
      | unsealed              | 502    | 1    |
      | falsely_busy          | 502    | 1    |
      | fails                 | 500    | 1    |
      | silent                | 504    | 1    |
      | turns_away            | 503    | 0    |
      | answers_another_first | 200    | 1    |
      | unframed              | 200    | 1    |
      | crashes_unframed      | 502    | 1    |
      | resets_unframed       | 502    | 1    |

  Scenario: every runner refuses connections
    The list is outdated and the runners have gone. Nothing was sent, so the
    refusal states that the request did not run, and when to retry.

    Given two plain runners that refuse connections
    When a caller calls /once/thing
    Then it gets 503, and 0 runs were made
    And its response has a Retry-After of less than a second

  Scenario Outline: the reason why <which> upstreams are passed over
    Guards against a refusal that says that no upstream is open while open
    ones are passed over: the cause is then sought at the upstreams.

    Given two plain runners, of which both "whole"
    When both are <which> and a caller calls /once/thing
    Then it gets 503, and 0 runs were made
    And the refusal's reason is "none of 2 open upstreams is used: 2 <reason>"

    Examples:
      | which   | reason         |
      | failing | after failures |
      | avoided | avoided        |

  Scenario: a request that crashes each runner that runs it
    Guards against the loss of all runners when the caller retries after each
    crash. Other requests are served by the runners that are left.

    Given five plain runners, of which four crash on what they run
    When a caller retries /any/poison until it is answered or refused without an attempt
    Then at most 3 runners were lost to the request
    And a caller that calls /any/other is answered by a runner

  Scenario Outline: the caller disconnects <when>
    Guards against runs that no caller waits for. Both runners are silent, so
    only the caller's disconnect can end the request.

    Given two <kind>, of which both "<way>"
    When a caller disconnects from <path> <when>
    Then within 0.5 s the runner sees its connection closed, and only one ran

    Examples:
      | kind          | way                | path      | when                   |
      | heads         | silent_after_three | /stream/a | after the first event  |
      | heads         | silent             | /stream/a | before the first event |
      | plain runners | silent             | /once/a   | before the first event |

  Scenario: headers that only the daemon may set
    Guards against a caller that sets another team, another runner or its own
    rank, in any spelling.

    Given two plain runners, of which the first "whole"
    When a caller sets the daemon's own headers on /any/thing
    Then the runner receives team-1, its own id, and no API key

  Scenario: the only replica pauses and goes on
    Guards against giving up a paused replica without another one to switch
    to, which loses what it sends 0.8 s later. When all replicas paused for
    0.5 s, six daemons logged "upstream stands still" with silent_ms 369 to
    406, and 27 streams were cut.

    Given two heads, of which both "pauses_after_three"
    When a caller asks for a stream, and nothing but its first head is open
    Then it gets 6 events in order and a proper end

  Scenario Outline: the only replica <way> and goes on
    The same before the first event; the caller would get a 502.

    Given two heads, of which both "<way>"
    When a caller asks for a stream, and nothing but its first head is open
    Then it gets 6 events in order and a proper end

    Examples:
      | way                    |
      | pauses_at_first        |
      | pauses_before_its_head |

  Scenario: no retry is left when a replica pauses
    Another replica is open, but the retry budget would not let the stream
    resume there: giving up the first one would end the stream.

    Given two heads, of which the first "pauses_after_three"
    And no retry is left in the budget
    When a caller asks for a stream
    Then it gets 6 events in order and a proper end

  Scenario: the only replica stalls until another opens
    The stalled replica never recovers. The stream resumes at the other
    replica as soon as that one is open.

    Given two heads, of which the first "silent_after_three"
    And the second opens 0.9 s later
    When a caller asks for a stream
    Then it gets 6 events in order and a proper end

  Scenario: the only plain runner is slow to answer
    A retryable request is sent to another runner after 0.25 s of silence.
    There is no other here, and the response does come.

    Given a daemon in front of a plain runner that "takes_a_second"
    When a caller calls /any/thing
    Then it gets 200 with the complete body of a runner
