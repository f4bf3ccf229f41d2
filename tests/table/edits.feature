Feature: Edits take effect at most once and are audited
  Versions only rise, and each has exactly one audit entry.

  Background:
    Given the example declaration is in the table

  Scenario: applying the same declaration again changes nothing
    When ann applies the example declaration
    Then the edit is Unchanged
    And the table is at version 1

  Scenario: the audit entry has the author, the reason and the changes
    When ann sets datacentres/sapporo state to "out" because "power work"
    Then the entry of version 2 is by ann because "power work"
    And it shows datacentres/sapporo state from "in" to "out"

  Scenario: two operators edit concurrently
    Bob's edit is committed after ann's tool has read version 1 and before it
    commits.  Her edit must not undo his, and she must learn who changed
    what.

    Given bob commits before ann with datacentres/sapporo state "out"
    When ann sets teams/kaban weight to 5 because "busy week"
    Then the edit is Conflict
    And the winner is bob with datacentres/sapporo state from "in" to "out"
    And the table is at version 2

  Scenario: an edit that was planned on an older version is a conflict
    When bob sets datacentres/sapporo state to "out" because "power work"
    And ann applies the example declaration planned on version 1
    Then the edit is Conflict
    And the winner is bob with datacentres/sapporo state from "in" to "out"

  Scenario Outline: the response to a commit is lost
    Guards against edits that are lost or take effect twice.  Without a
    response the edit may take effect at once, later or never.  The tool
    sends the same transaction again: its condition lets only one of the two
    take effect, and the audit entry identifies the edit.

    Given the store applies <fates> to the commits of ann
    When ann sets teams/kaban weight to 5 because "busy week"
    Then the edit is <outcome>
    And after delayed writes the table is at version <version>
    And each version has one audit entry

    Examples:
      | fates                                           | outcome     | version |
      | lose-answer                                     | Accepted    | 2       |
      | lose-write                                      | Accepted    | 2       |
      | late                                            | Accepted    | 2       |
      | lose-answer, lose-answer                        | Accepted    | 2       |
      | late, down                                      | Accepted    | 2       |
      | lose-answer, down, down, down                   | Unknown     | 2       |
      | late, down, down, down                          | Unknown     | 2       |
      | lose-write, down, down, down                    | Unknown     | 1       |
      | down                                            | Unavailable | 1       |

  Scenario Outline: an outage at each step of an edit
    Given the store is down from call <call> on
    When ann sets teams/kaban weight to 5 because "busy week"
    Then the edit is Unavailable
    And the table is at version 1

    Examples:
      | call |
      | 1    |
      | 2    |

  Scenario: a conflict is reported when the other edits can't be read
    Given bob commits before ann with datacentres/sapporo state "out"
    And reads fail from the commit of ann on
    When ann sets teams/kaban weight to 5 because "busy week"
    Then the edit is Conflict
    And the conflict says why the other edits could not be read

  Scenario: a revert is a new edit
    When ann sets datacentres/sapporo state to "out" because "power work"
    And ann sets teams/kaban weight to 5 because "busy week"
    And ann reverts to version 1
    Then the edit is Accepted
    And the table is at version 4
    And the table has the rows of version 1

  Scenario Outline: a revert to a version that does not exist is refused
    When ann reverts to version <version>
    Then the edit is Refused

    Examples:
      | version |
      | -1      |
      | 2       |

  Scenario: a revert does not overwrite a row written without an audit entry
    When ann sets teams/kaban weight to 5 because "busy week"
    And somebody writes teams/kaban without an audit entry
    And ann reverts to version 1
    Then the edit is Refused

  Scenario: an edit without a reason is refused
    When ann sets teams/kaban weight to 5 because " "
    Then the edit is Refused

  Scenario: a section that is not in the file keeps its rows
    When ann applies only the teams of the example without ledger's limits
    Then the edit is Accepted
    And upstreams/hakodate-1 is still there

  Scenario Outline: a file that removes most rows of a section
    Guards against a faulty template whose section has hardly any rows:
    applied, it would remove the teams or upstreams from all daemons.

    When ann applies <count> of 8 teams <option>
    Then the edit is <outcome>

    Examples:
      | count | option               | outcome  |
      | 4     | .                    | Accepted |
      | 3     | .                    | Refused  |
      | 0     | .                    | Refused  |
      | 0     | and allows removals  | Accepted |

  Scenario: an edit that is too large for one transaction is refused
    When ann applies 2100 teams
    Then the edit is Refused

  Scenario: an audit entry in several parts is read back completely
    When ann applies 1500 teams
    Then the entry of version 2 holds every changed row

  Scenario: operators edit concurrently through a store that loses responses
    When the machine RacingOperators has run
    Then each of its invariants was checked
