Feature: The rest that an upstream asks for
  An upstream in need turns a request away with 503, and says in Retry-After
  for how long it wants no other one.

  Scenario Outline: an upstream turns a request away, Retry-After <value>
    Guards against a rest that operators can't see, and against values that
    are no time and break requests or are taken for one.
    Given two plain runners, of which the first "asks_for_rest"
    When it asks for a rest of "<value>" and a caller calls /any/thing
    Then it gets 200 and all of a runner's response
    And the log has <lines> lines "<event>", with "<shown>"

    Examples:
      | value                         | lines | event           | shown                     |
      | 3                             | 1     | upstream rests  | 3000                      |
      | 2.1                           | 1     | upstream rests  | 2100                      |
      | 0                             | 0     | upstream rests  |                           |
      |                               | 1     | rest unreadable |                           |
      | soon                          | 1     | rest unreadable | soon                      |
      | -1                            | 1     | rest unreadable | -1                        |
      | nan                           | 1     | rest unreadable | nan                       |
      | 1e999                         | 1     | rest unreadable | 1e999                     |
      | 400 digits                    | 1     | rest unreadable | 9999999999999999999999999 |
      | Fri, 04 Dec 2026 12:00:00 GMT | 1     | rest unreadable | Fri, 04 Dec 2026          |

  Scenario Outline: ten requests to <path> when <which> rests
    Guards against requests that go to upstreams which want none, and against
    refusals that are late or after which there is still no room.
    Given two <kind>, of which both "<way>"
    When <which> asked for a rest of 1 s, and ten callers send <path> one after another
    Then no request reaches a resting upstream
    And <served> callers are served, and the others refused at once
    And whoever was refused is served after the time that it was told

    Examples:
      | kind          | way    | path       | which         | served |
      | plain runners | whole  | /any/thing | the first has | 10     |
      | plain runners | whole  | /any/thing | both have     | 0      |
      | plain runners | whole  | /once/b    | both have     | 0      |
      | heads         | stream | /stream/a  | the first has | 10     |
      | heads         | stream | /stream/a  | both have     | 0      |

  Scenario Outline: both upstreams turn <path> away and ask for rest
    Guards against tries at those that are known to turn away, and against a
    Retry-After that is over before any rest is.
    Given two <kind>, of which both "asks_for_rest"
    When both ask for 2 s of rest, and three callers send <path> one after another
    Then each upstream got one request
    And all three are refused with a Retry-After of 1.5 to 2.3 s

    Examples:
      | kind          | path       |
      | plain runners | /any/thing |
      | plain runners | /once/b    |
      | heads         | /stream/a  |

  Scenario Outline: a try at <path> <way>, and the other upstream rests
    Guards against retries and resumed streams that disturb a rest.
    Given two <kind>, of which the first "<way>"
    When the second has asked for a rest of 5 s, and a caller sends <path>
    Then no request reaches the second

    Examples:
      | kind          | way             | path       |
      | plain runners | closes          | /any/thing |
      | plain runners | turns_away      | /any/thing |
      | heads         | closes          | /stream/a  |
      | heads         | cut_in_an_event | /stream/a  |
      | heads         | rests_at_first  | /stream/a  |

  Scenario: a resting upstream starts again
    Guards against a rest that outlives the process that asked for it.
    Given two plain runners, of which both "whole"
    When both have asked for a rest of 5 s, and start again, and a caller sends /any/thing
    Then it gets 200 and all of a runner's response

  Scenario: an upstream asks for a shorter rest during a longer one
    Guards against the end of a rest by a later answer.
    Given two plain runners, of which both "whole"
    When both ask for a rest of 5 s and then of 0.1 s, and a caller sends /any/thing after 0.3 s
    Then no request reaches a resting upstream

  Scenario: an upstream turns away what another daemon relayed
    Guards against a daemon that relays to an upstream which wants nothing from
    that daemon's VM.
    Given a daemon without links to two upstreams that "asks_for_rest", and one with links
    When a caller calls /any/thing
    Then the other daemon has learned of each rest, and relays nothing there

  Scenario: an upstream wants nothing from the only daemon that could relay
    Guards against callers that are told to come back before any rest is over.
    Given a daemon without links to two upstreams that "whole", and one with links
    When its relay was asked for a rest of 2 s by both, and three callers send /any/thing
    Then all three are refused with a Retry-After of 1.4 to 2.3 s
    And no request reaches a resting upstream

  Scenario: rests turn callers of a team away
    Guards against refusals that operators can't see.
    Given two plain runners, of which both "whole"
    When both have asked for a rest of 1 s, and ten callers send /any/thing one after another
    Then the metrics show 10 refusals of team-1 for "rest", and 2 resting upstreams

  Scenario: one upstream rests for long, and the other one fails
    Guards against callers that are told the end of a rest though another
    upstream is back much sooner.
    Given two plain runners, of which both "whole"
    When the first asked for a rest of 60 s, the second fails, and a caller sends /any/thing
    Then it is refused with a Retry-After of 0.2 to 0.7 s
