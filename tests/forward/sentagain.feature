Feature: A request that must run once is sent again only if it has not run
  What shows that it has not run has to be about the sending that ended, not
  about an earlier one or another request.

  Scenario Outline: <path> is sent on since its first runner <way>
    Guards against a second run that nobody can trace: the log tells by what
    proof each request that must run once was sent on, and metrics count it.

    Given two plain runners, of which the first "<way>"
    When a caller calls <path>
    Then it gets 200 with the complete body of a runner
    And the proofs by which it was sent on are "<proofs>"

    Examples:
      | path        | way        | proofs   |
      | /once/thing | turns_away | rejected |
      | /once/thing | is_another | rejected |
      | /any/thing  | turns_away | none     |
      | /any/thing  | fails      | none     |

  Scenario: a request that must run once is sent on since a runner refuses
    Guards against the same where no connection was opened.

    Given two plain runners, of which the first refuses connections
    When a caller calls /once/thing
    Then it gets 200 with the complete body of a runner
    And the proofs by which it was sent on are "unreached"

  Scenario Outline: a runner listed under two ids <way>, reached <links>
    Guards against a request that runs twice: a runner that has started again
    at its address is listed under its old and its new id, so that a request
    is sent to it twice, and a second copy of its answer to the first sending,
    which says "not run", comes while it runs the second.

    Given a plain runner that first "<way>", listed under two ids
    And another one, reached <links>
    When a caller calls /once/thing
    Then it gets 200, and 1 runs were made

    Examples:
      | way              | links                 |
      | is_another_twice | directly              |
      | turns_away_twice | directly              |
      | is_another_twice | through other daemons |
      | turns_away_twice | through other daemons |

  Scenario Outline: <calls> on kept connections
    Guards against answers to an earlier sending of a request, and against ids
    that a connection keeps without end.

    Given a daemon in front of a plain runner
    When <calls>
    Then <opened> connections to the runner were opened

    Examples:
      | calls                                                   | opened |
      | callers call /once/thing 100 times, each with an own id | 1      |
      | callers call /once/thing 101 times, each with an own id | 2      |
      | 3 callers call /once/thing with the same id             | 3      |

  Scenario Outline: a kept relayed connection is refused since <cause>
    Guards against a request that runs twice or never: the opening and the
    request are written at once, and the refusal comes after both.

    Given a daemon without links to two upstreams that "whole", and one with links
    When a caller has called /once/first, then at the other daemon <cause>
    And a caller calls /once/thing
    Then it gets 503, and 1 runs were made
    And it was sent on first by the proof "relay refused"

    Examples: causes
      | cause                           |
      | the upstreams are leaving       |
      | their data centre is out        |
      | the upstreams are not listed    |
      | the process is stopping         |
