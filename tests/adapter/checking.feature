Feature: A configuration is checked before it is sent
  One row for each finding of `citronvalve check --adapter platform`. The
  check works offline. Exit codes: 0 clean, 1 findings, 2 a file can't be
  read.

  Scenario: a configuration without faults
    When a configuration is checked
    Then the check exits 0 and says "no findings"

  Scenario Outline: a configuration with a fault: <place>, <says>
    When a configuration with <change> is checked
    Then the only finding is at "<place>" and says "<says>"

    Examples: errors
      | change                                    | place                              | says                            |
      | Version = "seven"                         | Version                            | Expected `int`                  |
      | Routes = removed                          | the file                           | missing required field `Routes` |
      | Routes = 5                                | Routes                             | Expected `array`                |
      | Routes.0.TimeoutMs = removed              | Routes[0]                          | missing required field `TimeoutMs` |
      | Routes.1.Priority = "high"                | Routes[1].Priority                 | Expected `int`                  |
      | Services.0.Engine.Models.0.size = "big"   | Services[0].Engine.Models[0].size  | Expected `int`                  |
      | Tenants.0.ApiKeys = "k"                   | Tenants[0].ApiKeys                 | Expected `array`                |
      | Limits.MaxBodyBytes = {}                  | Limits.MaxBodyBytes                | Expected `int`                  |

    Examples: fields that are ignored or replaced
      | change                                    | place                              | says                            |
      | Routes.0.MaxAttempt = 2                   | Routes[0].MaxAttempt               | use MaxAttempts                 |
      | Tenant = []                               | Tenant                             | use Tenants                     |
      | Limits.MaxBodyByte = 5                    | Limits.MaxBodyByte                 | use MaxBodyBytes                |
      | Routes.1.Kind = "sometimes"               | routes/records.kind                | run once at most                |
      | Routes.1.MaxAttempts = 0                  | routes/records.max_attempts        | 0 counts as 1                   |
      | Routes.0.Service = "desk"                 | routes/chat.shares                 | desk beside it is ignored       |
      | Tenants.0.Weight = 0                      | teams/kaban.weight                 | 0 counts as 1                   |
      | Services.0.Engine.Models.1 = {"Name": "m", "size": 2, "LoadS": 9} | services/engines.models.m | the last one counts |

    Examples: entries that no request can match
      | change                                    | place                              | says                            |
      | Routes.1.Prefix = "/r"                    | routes/records.prefix              | only whole segments match       |
      | Routes.1.Prefix = "r/"                    | routes/records.prefix              | only whole segments match       |
      | Routes.1.Prefix = "/r?x=1/"               | routes/records.prefix              | without a query                 |
      | Routes.1.Host = "h.example:80"            | routes/records.host                | without a port                  |
      | Routes.1.Host = ""                        | routes/records.host                | matches no request              |
      | Routes.1.Prefix = "/a/"                   | routes/chat.prefix                 | routes/records shadows it       |
      | Routes.1.Name = "chat"                    | routes/chat                        | 2 entries have this name        |
      | Routes.0.TrafficSplit.1.Weight = 0        | routes/chat.shares                 | desk has the weight 0           |
      | Routes.0.TrafficSplit.1.Weight = -3       | routes/chat.shares                 | desk has the weight -3          |
      | Routes.0.TrafficSplit.0.Weight = 0 ; Routes.0.TrafficSplit.1.Weight = 0 | routes/chat.shares | desk has the weight 0 |
      | Routes.0.TrafficSplit.1.Service = "engines" | routes/chat.shares               | name the same service           |
      | Routes.0.TrafficSplit.1.Service = "mill"  | routes/chat.shares                 | no service 'mill'               |
      | Services.2 = {"Name": "spare"}            | services/spare                     | no route names it               |
      | Services.2 = {"Name": "desk"}             | services/desk                      | 2 entries have this name        |
      | Services.0.Engine.Models.0.Share = 0      | services/engines.models.m.initial_share | a share of 0               |
      | Tenants.1.ApiKeys = []                    | teams/ledger.keys                  | the team has no keys            |
      | Tenants.1.ApiKeys = ["key-2", ""]         | teams/ledger.keys                  | an empty key                    |
      | Tenants.1.ApiKeys = ["key-2", "key-2"]    | teams/ledger.keys                  | listed twice                    |
      | Tenants.1.ApiKeys = ["key-2", "key-1"]    | teams/kaban.keys                   | ledger has a key of this team   |
      | Tenants.1.Name = "kaban"                  | teams/kaban                        | 2 entries have this name        |
      | Tenants = [] ; Routes.1.Public = true     | routes/chat.public                 | no team has one                 |

    Examples: limits that contradict each other
      | change                                    | place                              | says                            |
      | Routes.1.TimeoutMs = 300                  | routes/records.timeout             | below the latency_objective of 400 ms |
      | Routes.0.TargetGapMs = 9000               | routes/chat.timeout                | below the gap_objective of 9000 ms |
      | Routes.1.TimeoutMs = 0                    | routes/records.timeout             | no time for any request         |
      | Routes.0.TimeoutMs = 700                  | routes/chat.max_attempts           | exceed the timeout of 700 ms    |
      | Routes.1.MaxAttempts = 2                  | routes/records.max_attempts        | may not be repeated             |
      | Routes.0.StreamResume = false             | routes/chat.max_attempts           | may not be repeated             |
      | Routes.1.StreamResume = true              | routes/records.resumable           | can't be resumed                |
      | Services.1.MaxConnections = 0             | services/desk.max_connections      | carry no request                |
      | Services.0.MaxConnections = 12            | services/engines.max_connections   | never fill the 13 slots         |
      | Services.0.ColdStartS = 0                 | services/engines.cold_rate         | takes no time                   |
      | Services.0.Engine.Slots = 0               | services/engines.engine.slots      | take no request                 |
      | Services.0.Engine.KvCapacity = 1000       | services/engines.engine.kv_cache_tokens | request of 1267 tokens     |
      | Services.0.Engine.Models.0.size = 0       | services/engines.models.m.size     | no replica has 0 runners        |
      | Services.0.Engine.Models.0.WarmupS = 20   | services/engines.models.m.staged_load_time | more than the 16000 ms  |
      | Limits.MaxBodyBytes = 0                   | limits.max_body_bytes              | no request is accepted          |

  Scenario: a model that is larger than the runners there are
    When a configuration is checked for 5 runners
    Then the only finding is at "services/engines.models.m.size" and says "wants 6 runners, and there are 5"

  Scenario Outline: attempts and a retry budget with the slack <slack>
    When a configuration is checked with settings whose budget has the slack <slack>
    Then the check exits <code> and says "<says>"

    Examples:
      | slack | code | says                                                        |
      | 130   | 0    | no findings                                                 |
      | 0     | 1    | routes/chat.max_attempts: 2 attempts, and the retry budget  |

  Scenario Outline: what differs from the version in force
    When a configuration with <change> is checked against the version in force
    Then the check exits <code> and says "<says>"

    Examples:
      | change                                     | code | says                                   |
      | Version = 8                                | 0    | no change against                      |
      | Version = 8 ; Routes.1.TimeoutMs = 2000    | 0    | ~  routes/records  timeout  1500    2000 |
      | Version = 8 ; Tenants.1 = removed          | 0    | -  teams/ledger                        |
      | Version = 8 ; Services.0.Engine.Models.0.size = 3 | 0 | models.m.size  6       3            |
      | Version = 7                                | 1    | version: 7 is not above 7              |

  Scenario: a configuration with errors and the version in force
    Guards against "no change" where nothing was compared.

    When a configuration with Version = 8 ; Routes.1.TimeoutMs = "soon" is checked against the version in force
    Then the only finding is at "Routes[1].TimeoutMs" and says "Expected `float`"
    And nothing is said about changes

  Scenario: an API key changes
    Guards against API keys in terminals and logs.

    When a configuration with Version = 8 ; Tenants.1.ApiKeys = ["key-3", "key-1"] is checked against the version in force
    Then the check exits 1 and says "teams/ledger  keys"
    And no API key is printed

  Scenario Outline: files that can't be read
    When a file with the text <text> is checked
    Then the check exits 2 and says "<says>"

    Examples:
      | text     | says                   |
      | nothing: | JSON is malformed      |
      | [1, 2]   | the file holds no object |

  Scenario Outline: the other version can't be read
    When a configuration is checked against a file with the text <text>
    Then the check exits 2 and says "<says>"

    Examples:
      | text           | says                   |
      | nothing:       | JSON is malformed      |
      | {"Version": 7} | missing required field |

  Scenario: settings that can't be read
    When a configuration is checked with settings that do not exist
    Then the check exits 2 and says "No such file"
