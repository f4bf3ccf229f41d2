Feature: The operators' tool says what it did, by text and by exit code
  0 done, 1 refused, 2 bad input, 3 conflict, 4 unavailable, 5 unknown.
  Whatever is not 0 names its remedy, and a script can go by the code.

  Background:
    Given a platform without a table
    And the example declaration has been applied

  Scenario Outline: a command ends with its code
    When the tool runs <words>
    Then it exits <code> and says "<says>"

    Examples:
      | words                                                         | code | says                        |
      | plan examples/table.json5                                     | 0    | already says this           |
      | apply examples/table.json5 --who a --why b                    | 0    | no change: version 1        |
      | apply examples/table.json5 --who a --why b --expect 0         | 3    | version 1 by first          |
      | apply examples/table.json5 --who a                            | 2    | required: --why             |
      | apply README.md --who a --why b                               | 2    | mend the file's syntax      |
      | apply no-such-file --who a --why b                            | 2    | No such file                |
      | table set datacentres/sapporo state=out --who a --why b       | 0    | committed as version 2      |
      | table set datacentres/sapporo state=off --who a --why b       | 2    | give one of in, out         |
      | table set datacentres/saporo state=out --who a --why b        | 2    | no such row                 |
      | table set datacentres/sapporo state --who a --why b           | 2    | write column=value          |
      | table set datacentres state=out --who a --why b               | 2    | write datacentres/name      |
      | table set zones/a state=out --who a --why b                   | 2    | no such section             |
      | table set datacentres/otaru region=x --new --who a --why b    | 0    | committed as version 2      |
      | table remove upstreams/hakodate-1 --who a --why b             | 0    | no row                      |
      | table remove models/kantei --who a --why b                    | 2    | models has no such row      |
      | table revert 0 --who a --why b                                | 0    | committed as version 2      |
      | table revert 7 --who a --why b                                | 2    | can go back to 0 to 1       |
      | table show upstreams                                          | 0    | 127.0.0.1:8101              |
      | table history                                                 | 0    | start                       |
      | table columns teams                                           | 0    | round to nothing            |
      | table columns zones                                           | 2    | no such section             |
      | audit 1                                                       | 0    | teams/kaban                 |
      | audit 9                                                       | 1    | no such audit entry         |
      | status                                                        | 2    | CITRONVALVE_DAEMONS         |
      | status 127.0.0.1:1                                            | 4    | no answer                   |
      | settings check examples/daemon.json5                          | 0    | is right                    |
      | settings check no-such-file                                   | 2    | No such file                |
      | settings check examples/table.json5                           | 2    | teams                       |
      | no-such-command                                               | 2    | invalid choice              |

  Scenario Outline: every command tells programs the same in JSON
    When the tool runs <words> --json
    Then its output is one JSON object with <key>

    Examples:
      | words                                                 | key       |
      | plan examples/table.json5                             | base      |
      | apply examples/table.json5 --who a --why b --expect 0 | winners   |
      | apply examples/table.json5 --who a --why b            | version   |
      | apply no-such-file --who a --why b                    | mistakes  |
      | table show                                            | sections  |
      | table history                                         | edits     |
      | audit                                                 | edits     |
      | status 127.0.0.1:1                                    | in_force  |

  Scenario Outline: the platform is down
    When the platform goes down
    And the tool runs <words>
    Then it exits 4 and says "remedy"

    Examples:
      | words                                      |
      | plan examples/table.json5                  |
      | apply examples/table.json5 --who a --why b |
      | table show                                 |
      | table history                              |
      | audit                                      |

  Scenario: the answer to an apply is lost
    The store takes the edit and closes the connection without an answer.
    The operator must not be told that it failed, or make it twice.

    When the next answer of the platform is lost
    And the tool runs table set teams/kaban weight=5 --who a --why b
    Then it exits 0 and says "committed as version 2"
    And the table's version is 2

  Scenario: the platform goes down right after it took the edit
    The answer is lost, and the store stays down while the tool tries to
    settle it.  It can't know, says so, and names the edit to look for.

    When the platform takes one more edit and then goes down
    And the tool runs table set teams/kaban weight=5 --who a --why b
    Then it exits 5 and says "may or may not be in the table"
    When the platform is back
    And the tool runs audit 2
    Then it shows the edit that was named before

  Scenario: eight operators race in processes of their own
    All read version 1 and set one row.  Those who were outrun are told so;
    the table holds one edit for each who was told of success.

    When 8 tools at once set teams/kaban weight on version 1
    Then 1 exits 0 and the others exit 3
    And the table's version is 2
    When 8 tools at once set teams/kaban weight on any version
    Then each exits 0 or 3
    And the table's version rose by one for each that exits 0

  Scenario: the operators' page knows every column
    Then docs/OPERATIONS.md has a line for each column with its bounds
