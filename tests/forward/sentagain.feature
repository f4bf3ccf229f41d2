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
