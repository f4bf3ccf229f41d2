Feature: The operators' tool reports results by text and by exit code
  Exit codes: 0 done, 1 refused, 2 bad input, 3 conflict, 4 unavailable,
  5 unknown. Scripts rely on the code, and each failure names its remedy.

  Background:
    Given a platform without a table
    And the example declaration has been applied

  Scenario Outline: a command exits with its code
    When the tool runs <words>
    Then it exits <code> and says "<says>"

    Examples:
      | words                                                         | code | says                        |
      | plan examples/table.json5                                     | 0    | already matches             |
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
      | settings check examples/daemon.json5                          | 0    | is valid                    |
      | settings check no-such-file                                   | 2    | No such file                |
      | settings check examples/table.json5                           | 2    | teams                       |
      | no-such-command                                               | 2    | invalid choice              |

  Scenario Outline: a command prints its report as JSON
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

  Scenario: the response to an edit is lost
    The store commits the edit and closes the connection without a response.
    Guards against reporting a failure or committing the edit twice.

    When the next response of the platform is lost
    And the tool runs table set teams/kaban weight=5 --who a --why b
    Then it exits 0 and says "committed as version 2"
    And the table's version is 2

  Scenario: the platform goes down right after it commits an edit
    The response is lost, and the store stays down while the tool retries.
    Guards against reporting success or failure when the result is unknown;
    the tool prints the id of the edit to check for.

    When the platform commits one more edit and then goes down
    And the tool runs table set teams/kaban weight=5 --who a --why b
    Then it exits 5 and says "may or may not be in the table"
    When the platform is back
    And the tool runs audit 2
    Then it shows the edit id that the previous command printed

  Scenario: eight operators edit one row concurrently
    Each tool runs in its own process. Guards against lost updates: the table
    holds one edit for each success, and the other tools report a conflict.

    When 8 tools concurrently set teams/kaban weight on version 1
    Then 1 exits 0 and the others exit 3
    And the table's version is 2
    When 8 tools concurrently set teams/kaban weight on any version
    Then each exits 0 or 3
    And the table's version increased by one for each that exits 0

  Scenario: the operators' page lists every column
    Then docs/OPERATIONS.md has a line for each column with its bounds
