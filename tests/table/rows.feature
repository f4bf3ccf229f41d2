Feature: A declaration is validated as a whole before it is accepted
  Guards against reporting mistakes one after the other, which delays urgent
  edits.  All mistakes are reported at once, each with its place, the value,
  the reason and the remedy.

  Scenario Outline: an invalid value is reported with its row and column
    Given the example declaration
    When <row> gets <column> = <value>
    Then the only mistake is at <row>, <column>: "<why>", "<remedy>"

    Examples: single columns
      | row                   | column       | value          | why                       | remedy              |
      | teams/kaban           | weight       | 0              | round to nothing          | give 0.01 to 1,000  |
      | teams/kaban           | weight       | "much"         | not of this type          | a number            |
      | teams/kaban           | weight       | NaN            | round to nothing          | give 0.01 to 1,000  |
      | teams/kaban           | wieght       | 1              | no such column            | use weight          |
      | teams/kaban           | token_sha256 | "secret"       | not a SHA-256 digest      | sha256sum           |
      | datacentres/sapporo   | state        | "off"          | not of this type          | in, out             |
      | upstreams/hakodate-1  | slots        | true           | not of this type          | a whole number      |
      | upstreams/hakodate-1  | slots        | 8.5            | not of this type          | a whole number      |
      | upstreams/hakodate-1  | slots        | 5000           | no engine batches more    | 1 to 4,096 requests |
      | upstreams/hakodate-1  | ramp         | -1             | strands the accelerators  | 0 to 3,600,000 ms   |
      | upstreams/hakodate-1  | address      | "engine:80"    | not an IP number          | 10.0.0.1:8000       |
      | upstreams/hakodate-1  | address      | "10.0.0.1:0"   | not an IP number          | 10.0.0.1:8000       |
      | upstreams/hakodate-1  | address      | "10.0.0.1"     | not an IP number          | 10.0.0.1:8000       |
      | upstreams/hakodate-1  | address      | "[::1:8000"    | not an IP number          | 10.0.0.1:8000       |
      | upstreams/hakodate-1  | serves       | "kantei"       | not of this type          | a list of texts     |
      | upstreams/hakodate-1  | serves       | []             | it would get no work      | name its models     |
      | services/records      | repeatable   | ["FETCH"]      | not an HTTP method        | use GET             |
      | switches/all          | retry_share  | 2              | multiplies an overload    | give 0 to 1 share   |
      | switches/all          | keep_keys    | 10             | a late repeat would run   | 60,000 to           |

    Examples: rows and columns that must fit each other
      | row                          | column      | value            | why                       | remedy               |
      | upstreams/hakodate-1         | cold_slots  | 9                | more than the 8 when warm | at most 8            |
      | upstreams/hakodate-1         | datacentre  | "otaru"          | has no such row           | add datacentres/otaru |
      | upstreams/hakodate-1         | serves      | ["kantei", "x"]  | models has no such row    | add models/x         |
      | upstreams/records-1          | serves      | ["kantei"]       | services has no such row  | add services/kantei  |
      | upstreams/records-1          | address     | "127.0.0.1:8101" | upstreams/hakodate-1 has  | its own              |
      | groups/sapporo-kantei        | model       | "x"              | models has no such row    | add models/x         |
      | groups/sapporo-kantei        | most_closed | 2                | there are only 1 groups   | at most 1            |

  Scenario: all mistakes are reported at once
    Given the example declaration
    When teams/kaban gets weight = 0
    And groups/sapporo-kantei gets model = "x"
    And upstreams/hakodate-1 gets slots = 0
    And switches/all gets hedge_share = 3
    Then there are 4 mistakes

  Scenario: references to an invalid row are not reported as mistakes
    Given the example declaration
    When models/kantei gets max_tokens = 0
    Then there are 1 mistakes

  Scenario Outline: an unreadable or malformed file is refused
    When the file holds <text>
    Then a mistake says "<why>"

    Examples:
      | text                                        | why              |
      | {teams: {a: {}, a: {}}}                     | Duplicate key    |
      | {"teams": {"a": {}, "a": {}}}               | declared twice   |
      | {taems: {}}                                 | no such section  |
      | {teams: []}                                 | not a map        |
      | {teams: {a: 1}}                             | not a row        |
      | {teams: {"a/b": {}}}                        | not a name       |
      | {teams: {a: {name: "b"}}}                   | named otherwise  |
      | {limits: {}}                                | not a list       |
      | {limits: [{team: "a"}]}                     | not a name       |
      | [1]                                         | no map of        |
      | {teams:                                     | Unexpected       |

  Scenario: a limit that is declared twice is refused
    When the file holds {limits: [{team: "a", model: "m", datacentre: "d", slots: 1}, {team: "a", model: "m", datacentre: "d", slots: 2}]}
    Then a mistake says "declared twice"

  Scenario: each numeric column has bounds
    Then every column that holds a number has a bound

  Scenario: a column or section of a newer release is ignored by a daemon
    Given the example declaration is in the table
    When a newer release adds a column to teams/kaban and a section of its own
    Then a daemon reads the table as before
    But an edit of this release is refused with "no such column"
