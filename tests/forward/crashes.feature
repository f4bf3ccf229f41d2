Feature: The contents that a lost upstream ran are accused, and answers clear them
  Each request has the shared parts F and P in its prompt, and one of its own.

  Scenario Outline: <what>
    Guards against a crash of which the next daemon learns nothing, and
    against blame for requests that an upstream had survived.
    Given two heads, of which both "<way>"
    When a caller asks for a stream with the parts F, P and one of its own
    Then <contents> contents are accused of the loss of <upstreams> upstreams

    Examples:
      | what                                                    | way                             | contents | upstreams |
      | upstreams crash before they answer                      | crashes                         | 3        | 2         |
      | they crash as they begin, the second one as it resumes  | unframed_crashes                | 3        | 2         |
      | they crash after 0.8 s of writing                       | unframed_writes_on_and_crashes  | 1        | 2         |
      | they are silent and crash while another one is tried    | pauses_at_first_and_crashes     | 3        | 2         |
      | they break off and go on listening                      | closes                          | 0        | 0         |
      | they refuse the request                                 | turns_away                      | 0        | 0         |
      | they answer                                             | stream                          | 0        | 0         |

  Scenario: an upstream crashes to which another daemon relays
    Guards against a crash that counts as a lost link, so that nobody is
    accused and the request goes on through relays.
    Given a daemon without links to two upstreams that "crashes", and one with links
    When a caller asks for a stream with the parts F, P and one of its own
    Then 3 contents are accused of the loss of 2 upstreams

  Scenario Outline: requests with <which> after 4 losses of the part P
    Guards against the refusal of sound requests that share the other part.
    Given two heads, of which both "stream"
    And 4 upstreams were lost with the parts F and P, of which F was answered since
    When a caller asks for a stream with <which>
    Then it gets <status>, and <runs> runs were made

    Examples:
      | which                             | status | runs |
      | the parts F, P and one of its own | 503    | 0    |
      | the part P and one of its own     | 503    | 0    |
      | the part F and one of its own     | 200    | 1    |
      | P as its own part                 | 200    | 1    |
      | no parts                          | 200    | 1    |

  Scenario Outline: the daemon that may try a fenced part does so <when>
    Guards against a part that stays refused once its upstreams are mended.
    Given two heads, of which both "stream"
    And 4 upstreams were lost with the parts F and P, of which F was answered since
    When the daemon may try fenced contents and <when>, a caller asks for a stream with P
    Then it gets <status>, and <runs> runs were made
    And the next request with P gets <next>

    Examples:
      | when      | status | runs | next |
      | at once   | 503    | 0    | 503  |
      | 1 s later | 200    | 1    | 200  |

  Scenario: a part is answered, and then lost with a request that crashes upstreams
    Guards against the refusal of sound requests that share a part with one
    that crashes upstreams, while few upstreams answer anything.
    Given two heads, of which both "stream"
    And a caller asks for a stream with the part P and one of its own
    When 4 upstreams are lost with P, and 3 of them with one other request
    And a caller asks for a stream with the part P and one of its own
    Then it gets 200, and 2 runs were made

  Scenario Outline: a run that <how> is logged with what was found of its upstream
    Guards against a run that broke, was not counted as a crash, and of which
    no log or metric tells why.
    Given two heads, of which both "<way>"
    When a caller asks for a stream with the parts F, P and one of its own
    Then the log and the metrics say of <runs> broken runs that their upstream was found "<found>"

    Examples:
      | how                       | way     | runs | found     |
      | breaks off                | closes  | 2    | listening |
      | crashes                   | crashes | 2    | lost      |

  Scenario: a request that was lost three times beside another one is let pass
    Guards against a request that crashes upstreams and is sent on, and of
    which no log tells what explains its losses.
    Given two heads, of which both "stream"
    And 3 upstreams were lost with the request and as often with another one
    When a caller asks for a stream with no parts
    Then it gets 200, and 1 runs were made
    And the log says that 3 losses of it were explained

  Scenario Outline: a request that crashed three upstreams comes again with <which>
    Guards against a request that crashes upstreams again after each change of
    its team's keys.
    Given two heads, of which both "crashes"
    And a request crashed both, and a third upstream was lost with it
    When it comes again with <which>
    Then it <does> refused for crashes

    Examples:
      | which                   | does   |
      | the same key            | is     |
      | another key of its team | is     |
      | the key of another team | is not |

  Scenario Outline: a run breaks whose upstream is found <found>, and <proof>
    Guards against a crash that is not counted, since this daemon can't tell
    the upstream from its link while another one knows that it was lost.
    Given two heads, of which both "closes"
    And a daemon whose upstreams are found <found> after a run broke
    When <proof>, as a caller asks for a stream with the parts F, P and one of its own
    Then <contents> contents are accused of the loss of <upstreams> upstreams

    Examples:
      | found     | proof                                               | contents | upstreams |
      | no link   | nobody knows more                                   | 0        | 0         |
      | no link   | another daemon then reports the loss of both        | 3        | 2         |
      | no link   | another daemon has reported the loss of both        | 3        | 2         |
      | no link   | another daemon then reports a loss of 2 s before    | 0        | 0         |
      | no link   | the list then shows a later start of both           | 3        | 2         |
      | no link   | the list then shows the same start of both          | 0        | 0         |
      | no link   | the list then shows neither of them                 | 3        | 2         |
      | no link   | the list shows neither of them 6 s later            | 0        | 0         |
      | listening | another daemon then reports the loss of both        | 3        | 2         |
      | resting   | nobody knows more                                   | 0        | 0         |
      | resting   | another daemon then reports the loss of both        | 3        | 2         |
