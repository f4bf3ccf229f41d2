Feature: A declaration is checked before it is applied
  The check works offline. Exit codes: 0 clean, 1 findings, 2 a file can't be
  read. Each finding names its place and its remedy.

  Scenario: a declaration without faults
    When a declaration is checked
    Then the check exits 0 and says "no findings"

  Scenario Outline: a declaration with a fault: <place>
    When a declaration with <change> is checked
    Then the only finding is at "<place>" and says "<says>"

    Examples: errors
      | change                                                     | place                   | says                       |
      | teams.kaban.weight = 0                                     | teams/kaban.weight      | 0.01 to 1,000 share        |
      | teams.kaban.wait = 1                                       | teams/kaban.wait        | use weight                 |
      | teams.ledger.token_sha256 = "short"                        | teams/ledger.token_sha256 | not a SHA-256 digest     |
      | team = {}                                                  | team                    | use teams                  |
      | upstreams.engine-1.address = "localhost:80"                | upstreams/engine-1.address | not an IP number        |
      | upstreams.engine-1.serves = ["canteen"]                    | upstreams/engine-1.serves | models has no such row   |
      | groups.pair.datacentre = "otaru"                           | groups/pair.datacentre  | datacentres has no such row |

    Examples: rows that no request can use
      | change                                                     | place                   | says                       |
      | models.idle = {}                                           | models/idle             | each request for it is refused |
      | upstreams.records-1.state = "out"                          | services/records        | no upstream in service     |
      | datacentres.otaru = {}                                     | datacentres/otaru       | neither upstreams nor groups |
      | groups.none = {"datacentre": "sapporo", "model": "kantei", "size": 2, "replicas": 0} | groups/none.replicas | no replica is formed |
      | limits.0.slots = 0                                         | limits/ledger/kantei/sapporo.slots | each request of the team is refused |
      | limits.0.slots = 9                                         | limits/ledger/kantei/sapporo.slots | more than the 8 slots |
      | limits.0.model = "records" ; limits.0.datacentre = "hakodate" | limits/ledger/records/hakodate.slots | nothing in service serves records |

    Examples: limits that contradict each other
      | change                                                     | place                   | says                       |
      | services.records.deadline = 90000                          | services/records.deadline | a repeat could run again |
      | switches.default_deadline = 90000                          | switches/all.default_deadline | a repeat could run again |
      | switches.retry_share = 0                                   | services/records.repeatable | nothing is repeated    |

  Scenario: groups that want more VMs than there are
    When a declaration is checked with --runners 3
    Then the only finding is at "datacentres/sapporo" and says "want 4 VMs, and there are 3"

  Scenario: a declaration of some sections
    Nothing is said about rows of sections that the file does not have.

    When a declaration with models = removed ; groups = removed ; upstreams = removed is checked
    Then the check exits 0 and says "no findings"

  Scenario: a declaration of some sections against the version in force
    When a declaration with models = removed ; upstreams.engine-1.serves = ["canteen"] is checked against the first
    Then the only finding is at "upstreams/engine-1.serves" and says "models has no such row"

  Scenario: a declaration that removes most rows of a section
    Guards against a truncated file that is applied.

    When a declaration of 1 of 4 teams is checked against the other version
    Then the only finding is at "teams" and says "would lose 3 of its 4 rows"

  Scenario Outline: rows that differ from the version in force
    When a declaration with <change> is checked against the <other>
    Then the check exits 0 and says "<says>"

    Examples:
      | change                          | other                      | says                             |
      | teams.kaban.weight = 3          | first                      | 1 entry differs                 |
      | teams.kaban.weight = 3          | first                      | ~  teams/kaban  weight  2.0     3.0 |
      | teams.kaban.weight = 3          | output of table show       | 1 entry differs                 |
      | limits = []                     | first                      | -  limits/ledger/kantei/sapporo  |
      | teams.kaban.weight = 2          | first                      | no change against                |

  Scenario Outline: files that can't be read
    When the tool checks <words>
    Then the check exits 2 and says "<says>"

    Examples:
      | words                                               | says                       |
      | no-such-file                                        | No such file               |
      | README.md                                           | README.md                  |
      | examples                                            | Is a directory             |
      | examples/table.json5 --against no-such-file         | No such file               |
      | examples/table.json5 --against README.md            | README.md                  |
      | examples/table.json5 --settings examples/table.json5 | give --adapter too        |
      | examples/table.json5 --adapter docs                 | no adapter can be imported |

  Scenario: the report as JSON
    When a declaration with limits.0.slots = 0 is checked with --json
    Then the JSON report has exit code 1 and a finding at "limits/ledger/kantei/sapporo.slots"
