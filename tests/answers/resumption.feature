Feature: A broken stream goes on elsewhere, or ends in an error
  A caller whose stream broke needs the rest within its deadline, or an
  error that can't be taken for the end of the answer.

  Scenario Outline: <trouble> from upstream "a" at <now>
    The caller has "hello" and its deadline is at 1000 ms when the stream
    from "a" goes wrong.  The rest comes from where it may, or not at all.
    Given an answer of request "r1" with "hello" relayed
    And its deadline is 1000
    When "a" shows <trouble> at <now>
    Then the decision is <decision>

    Examples:
      | trouble   | now  | decision               |
      | stray     | 10   | to go on               |
      | late      | 10   | to go on               |
      | broken    | 10   | to ask from 0, avoid a |
      | gap       | 10   | to ask from 0, avoid a |
      | malformed | 10   | to ask from 0, avoid a |
      | diverged  | 10   | to ask from 0, never a |
      | broken    | 1000 | deadline-passed        |
      | stray     | 1000 | to go on               |

  Scenario Outline: upstreams that break again and again
    Every upstream breaks the stream, each time after <grown> characters.
    Without a limit one answer would be asked for until its deadline, by
    each of the callers of a lost upstream at once.
    Given an answer of request "r1" with "hello" relayed
    And its deadline is 1000
    When streams break after <grown> characters each
    Then <asked> resumes were asked for
    And the decision is upstream-failed

    Examples:
      | grown | asked |
      | 0     | 3     |
      | 1     | 8     |

  Scenario: a resume asks for a little of what the caller has
    The stream breaks after 100 characters, and another upstream has
    sampled other words.  Its text must be compared before it is joined.
    Given an answer of request "r1" with 100 characters relayed
    And its deadline is 1000
    When "a" shows broken at 10
    Then the decision is to ask from 68, avoid a
