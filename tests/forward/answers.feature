Feature: Whole answers, once, or a word that is true
  Runners break off, answer late, answer something else, or not at all.

  Scenario Outline: a stream whose first runner <way>
    The caller sees each event once and in order, and a proper end; what the
    first runner began, another goes on with after the last whole event.

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

  Scenario: a stream that nobody can finish does not look complete
    Both runners break off; what the caller has is a part, and must not pass
    for the whole.

    Given two heads, of which both "cut_in_an_event"
    When a caller asks for a stream
    Then it gets 3 events and no proper end

  Scenario Outline: a request that may run any number of times, runner <way>
    Given two plain runners, of which the first "<way>"
    When a caller calls /any/thing
    Then it gets 200 with the whole body of a runner

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

  Scenario Outline: a request that may run once, runner <way>
    Whatever may have run is never sent on again, and no status that promises
    "not run" is given for it.

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

  Scenario: nobody listens at any runner
    The list lags: the runners have gone. Nothing was sent, so the refusal
    says "not run" and when to come back.

    Given two plain runners that nobody listens at
    When a caller calls /once/thing
    Then it gets 503, and 0 runs were made
    And it is told when to come back

  Scenario: a request that crashes whoever runs it
    Its caller sends it again after each crash. Other requests go on being
    served by whoever is left.

    Given five plain runners, of which four crash on what they run
    When a caller keeps sending /any/poison until it is answered or refused without a try
    Then at most 3 runners were lost to it
    And a caller that calls /any/other is answered by a runner

  Scenario Outline: the caller leaves <when>
    The runner would work on for nobody, and both runners are silent, so that
    nothing but the caller's close can end the request.

    Given two <kind>, of which both "<way>"
    When a caller leaves <path> <when>
    Then within 0.5 s the runner sees its connection closed, and only one ran

    Examples:
      | kind          | way                | path      | when                   |
      | heads         | silent_after_three | /stream/a | after the first event  |
      | heads         | silent             | /stream/a | before the first event |
      | plain runners | silent             | /once/a   | before the first event |

  Scenario: headers that only the system may set
    A caller that names another team, another runner or its own rank must not
    have its way, in any spelling.

    Given two plain runners, of which the first "whole"
    When a caller sets the system's own headers on /any/thing
    Then the runner sees team-1, its own id, and no key

  Scenario: the only replica pauses and goes on
    It looks as one that stands still. There is nowhere else to go, so to end
    the answer loses what the replica would have written 0.8 s later. The
    daemon gave a silent try up before it asked whether it could go on
    elsewhere: with the process that plays all replicas stopped for 0.5 s, six
    daemons logged "upstream stands still" with silent_ms 369 to 406, and 27
    streams were cut.

    Given two heads, of which both "pauses_after_three"
    When a caller asks for a stream, and nothing but its first head is open
    Then it gets 6 events in order and a proper end

  Scenario Outline: the only replica <way> and goes on
    The same before anything was written, where the caller got a 502.

    Given two heads, of which both "<way>"
    When a caller asks for a stream, and nothing but its first head is open
    Then it gets 6 events in order and a proper end

    Examples:
      | way                    |
      | pauses_at_first        |
      | pauses_before_its_head |

  Scenario: no repeat is left when a replica pauses
    Another replica is open, but the budget of repeats would not let the
    stream go on there: to give the first one up ends the answer.

    Given two heads, of which the first "pauses_after_three"
    And no repeat is left
    When a caller asks for a stream
    Then it gets 6 events in order and a proper end

  Scenario: the only replica stands still until another opens
    It will never go on. The stream waits for what it has, and goes on at the
    other replica as soon as there is one.

    Given two heads, of which the first "silent_after_three"
    And the second opens 0.9 s later
    When a caller asks for a stream
    Then it gets 6 events in order and a proper end

  Scenario: the only plain runner is slow to answer
    What may be repeated is sent to another after 0.25 s of silence; there is
    no other, and the answer would have come.

    Given a daemon before a plain runner that "takes_a_second"
    When a caller calls /any/thing
    Then it gets 200 with the whole body of a runner
