Feature: Requests of disconnected callers are not sent to upstreams

  Scenario Outline: a caller has <left> before the daemon reads its request
    Guards against runs that no caller waits for: after a pause of 0.5 s,
    daemons sent requests that callers had given up in the pause.

    Given a daemon with an idle connection to its plain runner
    When a caller of /<kind>/thing has <left> before the daemon reads it
    Then the request ends with the outcome left, and the runner has not run it

    Examples:
      | kind | left                                   |
      | any  | closed its connection                  |
      | once | closed its connection                  |
      | any  | reset its connection                   |
      | any  | pipelined another request, and closed  |

  Scenario: a caller pipelines another request and waits
    Guards against taking pipelined bytes for the caller's disconnect.

    Given a daemon with an idle connection to its plain runner
    When a caller sends two requests at once and waits
    Then it gets two answers
