Feature: A broken stream is resumed or ends in an error
  After its stream broke, a caller must get the rest within its deadline,
  or an error that it can't mistake for the end of the answer.

  Scenario Outline: <failure> from upstream "a" at <now>
    The stream from "a" fails after "hello", with a deadline at 1000 ms.
    The kind of failure decides which upstreams may send the rest.
    Given an answer of request "r1" with "hello" relayed
    And its deadline is 1000
    When the stream from "a" fails with <failure> at <now>
    Then the decision is <decision>

    Examples:
      | failure   | now  | decision                     |
      | stray     | 10   | to continue reading          |
      | late      | 10   | to continue reading          |
      | broken    | 10   | to resume from 0, avoiding a |
      | gap       | 10   | to resume from 0, avoiding a |
      | malformed | 10   | to resume from 0, avoiding a |
      | diverged  | 10   | to resume from 0, without a  |
      | broken    | 1000 | deadline-passed              |
      | stray     | 1000 | to continue reading          |

  Scenario Outline: every attempt breaks after <size> characters
    Without a limit, each answer would be resumed until its deadline, for
    all callers of a lost upstream at once.
    Given an answer of request "r1" with "hello" relayed
    And its deadline is 1000
    When streams break after <size> characters each
    Then <count> resumes were started
    And the decision is upstream-failed

    Examples:
      | size | count |
      | 0    | 3     |
      | 1    | 8     |

  Scenario: a resume overlaps with relayed text
    The stream breaks after 100 characters, and another upstream may have
    sampled a different answer.  The overlap is compared to detect it.
    Given an answer of request "r1" with 100 characters relayed
    And its deadline is 1000
    When the stream from "a" fails with broken at 10
    Then the decision is to resume from 68, avoiding a
