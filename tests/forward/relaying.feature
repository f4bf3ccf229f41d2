Feature: Requests of a daemon without links to the upstreams are relayed
  Guards against refusals at a VM that only its own links keep from upstreams
  that work: callers, store and other daemons reach it all the time. What
  holds on a direct connection holds on a relayed one.

  Scenario Outline: <path> at a daemon whose connections <fail>
    Given a daemon whose connections to two upstreams <fail>, and one with links
    When a caller sends <path>
    Then it gets 200 and all of a runner's response
    And one run was made, with team-1, the runner's id and no API key
    And the logs of both daemons name the request

    Examples: kinds
      | path        | fail        |
      | /any/thing  | are refused |
      | /once/thing | are refused |
      | /stream/a   | are refused |
      | /any/thing  | hang        |
      | /once/thing | hang        |
      | /stream/a   | hang        |

  Scenario Outline: a relayed at-most-once request, runner <way>
    Guards against a second run, and against a part that looks complete.

    Given a daemon without links to two upstreams that "<way>", and one with links
    When a caller calls /once/thing
    Then it gets <status>, and <runs> runs were made

    Examples: ways
      | way                   | status | runs |
      | whole                 | 200    | 1    |
      | whole_then_resets     | 200    | 1    |
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
      | restarts_unframed_in_a_pause | 502 | 1 |

  Scenario: the relay is lost in a response without a length
    Guards against a part that looks complete: such a response ends with its
    connection, and the relay's end is not the runner's.

    Given a daemon without links to two upstreams that "pauses_unframed", and one with links
    When the relay is lost while a caller calls /once/thing
    Then it gets 502, and 1 runs were made

  Scenario: the relay is lost in a stream
    Given a daemon without links to two upstreams that "pauses_after_three", and two with links
    When the relay is lost while a caller asks for a stream
    Then it gets 6 events in order and a proper end

  Scenario Outline: the other daemon does not relay since <cause>
    Guards against requests that run where an evacuation or a fence forbids
    it, and against requests that go round in circles.

    Given a daemon without links to two upstreams that "whole", and one with links
    And at the other daemon <cause>
    When a caller calls /once/thing
    Then it gets 503, and 0 runs were made
    And its response has a Retry-After of less than a second

    Examples: causes
      | cause                           |
      | the upstreams are leaving       |
      | their data centre is out        |
      | the upstreams are not listed    |
      | all links are cut               |
      | the upstreams don't answer      |
      | the process is stopping         |
      | the process has just started    |

  Scenario Outline: an upstream fails, and the other daemon's <cause>
    Guards against a cut that is none: an upstream that has left the others'
    lists is gone, and its failure says nothing about the links.

    Given a daemon with links to two upstreams that "whole", and one with links
    And at the other daemon <cause>
    When the upstreams fail and a caller calls /once/thing
    Then it gets 503, and 0 runs were made
    And the link is <known>

    Examples: verdicts
      | cause                           | known         |
      | the upstreams are leaving       | not at fault  |
      | the upstreams are not listed    | not at fault  |
      | the upstreams don't answer      | lost          |
      | all links are cut               | lost          |
      | the process has just started    | lost          |

  Scenario: an upstream is down, and the other daemon finds it so
    Given a daemon with links to two upstreams that "whole", and one with links
    When one upstream is down and a caller calls /once/thing
    Then it gets 200 with the complete body of a runner
    And the link is not at fault
    And the other daemon was asked

  Scenario Outline: the caller of a relayed request disconnects <when>
    Guards against runs that no caller waits for.

    Given a daemon without links to two upstreams that "<way>", and one with links
    When a caller disconnects from <path> <when>
    Then within 0.5 s the runner sees its connection closed, and only one ran

    Examples: leaving
      | way                | path      | when                   |
      | silent_after_three | /stream/a | after the first event  |
      | silent             | /once/a   | before the first event |

  Scenario: a relayed runner starts again at its address under a new id
    Guards against a sound runner that a daemon without links can't use: the
    kept connection was opened for the id that is gone, and the relay refuses
    that one.

    Given a daemon without links to two upstreams that "whole", and one with links
    When plain-1 alone answers a call of /once/first, and starts again as plain-3
    And a caller calls /once/thing
    Then it gets 200, and 2 runs were made

  Scenario: requests on one relayed connection
    Guards against a new connection to an upstream for each request.

    Given a daemon without links to two upstreams that "whole", and one with links
    When it gets 6 calls of /once/thing
    Then the other daemon has opened at most 2 connections for them

  Scenario Outline: connections break with the links, runner <way>
    Guards against blame for upstreams that work: a stall that is reported to
    all daemons, or a loss that counts against the request.

    Given a daemon with links to two upstreams that "<way>", and one with links
    When the links are lost while a caller calls <path>
    Then no upstream is reported as stalled or lost
    And links are known to be lost

    Examples: losses
      | way         | path       |
      | silent      | /stream/a  |
      | closes_late | /any/thing |
      | silent      | /any/thing |

  Scenario: one silent upstream shows that all links are lost
    Guards against a second caller who has to find that out: no request is
    sent but the one that may run once.

    Given a daemon with links to two upstreams that "silent", and one with links
    When the links are lost while a caller calls /once/thing
    Then all links are known to be lost

  Scenario: a sound upstream is silent for a second
    Guards against relayed requests where the links work.

    Given a daemon with links to two upstreams that "pauses_before_its_head", and one with links
    When a caller calls /stream/a
    Then the links are sound

  Scenario: the links come back
    Guards against requests that stay on the longer way.

    Given a daemon without links to two upstreams that "whole", and one with links
    When it gets 3 calls of /any/thing
    And the links are back for 1 s
    Then the links are sound
    And the next request is not relayed
