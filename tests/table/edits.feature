Feature: Edits take effect once, or not at all, and leave their trace
  Versions only rise, and each has exactly one audit entry.

  Background:
    Given the example declaration is in the table

  Scenario: the same declaration again changes nothing
    When ann applies the example declaration
    Then the edit is Unchanged
    And the table is at version 1

  Scenario: the audit entry says who, why, and each row before and after
    When ann sets datacentres/sapporo state to "out" because "power work"
    Then the entry of version 2 is by ann because "power work"
    And it shows datacentres/sapporo state from "in" to "out"

  Scenario: racing operators
    Two operators plan on version 1.  Bob's edit comes in after ann's tool
    read the table, before it commits.  She must learn who changed what,
    since her plan did not know of it; her edit must not undo his.

    Given bob gets in between with datacentres/sapporo state "out"
    When ann sets teams/kaban weight to 5 because "busy week"
    Then the edit is Conflict
    And the winner is bob with datacentres/sapporo state from "in" to "out"
    And the table is at version 2

  Scenario: an apply that was planned on an older version
    When bob sets datacentres/sapporo state to "out" because "power work"
    And ann applies the example declaration planned on version 1
    Then the edit is Conflict
    And the winner is bob with datacentres/sapporo state from "in" to "out"

  Scenario Outline: the answer to an edit is lost
    The store goes silent at the commit.  The tool can't tell whether the
    edit took effect, and it may still do so after a look that did not find
    it.  It sends the same transaction again: its condition lets only one of
    the two take effect, and the audit entry tells whose it is.

    Given the store does <fates> to the commits of ann
    When ann sets teams/kaban weight to 5 because "busy week"
    Then the edit is <outcome>
    And once late writes have landed the table is at version <version>
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

  Scenario: an operator who was outrun while reads are down still learns it
    Given bob gets in between with datacentres/sapporo state "out"
    And reads go down with the commit of ann
    When ann sets teams/kaban weight to 5 because "busy week"
    Then the edit is Conflict
    And who won could not be read

  Scenario: a revert is a new edit
    When ann sets datacentres/sapporo state to "out" because "power work"
    And ann sets teams/kaban weight to 5 because "busy week"
    And ann reverts to version 1
    Then the edit is Accepted
    And the table is at version 4
    And the table says what it said at version 1

  Scenario Outline: a revert to what is not there
    When ann reverts to version <version>
    Then the edit is Refused

    Examples:
      | version |
      | -1      |
      | 2       |

  Scenario: a row that was written around the tool is not undone over
    When ann sets teams/kaban weight to 5 because "busy week"
    And somebody writes teams/kaban without an audit entry
    And ann reverts to version 1
    Then the edit is Refused

  Scenario: an edit without a reason is refused
    When ann sets teams/kaban weight to 5 because " "
    Then the edit is Refused

  Scenario: a section that the file does not name stays
    When ann applies only the teams of the example without ledger's limits
    Then the edit is Accepted
    And upstreams/hakodate-1 is still there

  Scenario Outline: a file that would empty a section
    A template goes wrong and the file names a section with hardly a row.
    Applied, it would leave no daemon anywhere with a team or an upstream.

    When ann applies <count> of 8 teams <option>
    Then the edit is <outcome>

    Examples:
      | count | option               | outcome  |
      | 4     | .                    | Accepted |
      | 3     | .                    | Refused  |
      | 0     | .                    | Refused  |
      | 0     | and allows removals  | Accepted |

  Scenario: an edit larger than one transaction may be
    When ann applies 2100 teams
    Then the edit is Refused

  Scenario: a long audit entry is read back whole
    When ann applies 1500 teams
    Then the entry of version 2 holds every changed row

  Scenario: operators race through a store that loses answers
    When the machine RacingOperators has run
    Then each of its promises was looked at
