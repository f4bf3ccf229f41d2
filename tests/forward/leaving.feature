Feature: Nothing is begun for a caller that has left

  Scenario Outline: a caller has <left> before the daemon reads its request
    Guards against a run for nobody: daemons that stood still for 0.5 s sent
    on what callers had given up meanwhile.

    Given a daemon with a connection kept to its plain runner
    When a caller of /<kind>/thing has <left> before the daemon reads it
    Then the request ends as left, and the runner has not run it

    Examples:
      | kind | left                                   |
      | any  | closed its connection                  |
      | once | closed its connection                  |
      | any  | reset its connection                   |
      | any  | sent another request ahead, and closed |

  Scenario: a caller sends another request ahead and waits
    Guards against taking bytes that came ahead for the caller's end.

    Given a daemon with a connection kept to its plain runner
    When a caller sends two requests at once and waits
    Then it gets two answers
