Feature: A scenario may fail in CI only while its fault is listed
  The list has as many lines as there are open faults; each can be traced.

  Scenario: every entry is read, however many there are
    Given a list of 5 proper lines
    When it is read
    Then it has 5 entries

  Scenario: no list is an empty one
    Given no list
    When it is read
    Then it has 0 entries

  Scenario Outline: a line <mistake> is refused
    A line that names no command or no issue can't be followed up, and one
    without a test would let anything pass.

    Given a list with the line "<line>"
    When it is read
    Then it is refused, and told "<why>"

    Examples:
      | mistake               | line                                  | why            |
      | without an issue      | forward: a pause / make test / cut    | write it as    |
      | with an empty command | forward: a pause / / cut / 18         | write it as    |
      | with a field too many | forward: a pause / a / b / c / 18     | write it as    |
      | that stands twice     | forward: a 1 / make test / cut / 18   | is named twice |

  Scenario: an entry that names no scenario fails the run
    Its scenario was renamed or dropped: whatever the entry stood for is not
    tested any more.

    Given a list of 2 proper lines
    When only the first one's scenario was run
    Then 1 entry is complained about
