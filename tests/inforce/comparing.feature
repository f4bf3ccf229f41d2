Feature: A daemon's table is reconciled with the platform's
  Incremental reads compare only version numbers; rows that differ at the
  same version would persist until the next edit of them.

  Background:
    Given the example declaration is in the platform's table

  Scenario Outline: <what> is held at the platform's version
    Guards against a wrong row that neither reads nor edits of other rows
    correct.

    Given a watcher that received the table from a peer, with <what>
    Then within <span> s its table in force is the platform's
    And the log names the rows that differed

    Examples:
      | what                                  | span |
      | a data centre that is out by its copy | 360  |
      | a row that the platform does not have | 360  |
      | a row missing                         | 360  |

  Scenario: a peer holds other rows at the same version
    Guards against a wrong row of a daemon that is not a watcher: its peers
    send other digests, and the rows are not compared.

    Given a daemon that received the table from a peer, with a row missing
    When a peer with the platform's table sends gossip
    Then within 10 s its table in force is the platform's

  Scenario: a wrong row persists after an edit of another row
    Guards against a delta that hides a difference at older revisions.

    Given a daemon that received the table from a peer, with a row missing
    When sapporo is taken out, and the daemon reads the edit
    And a peer with the platform's table sends gossip
    Then within 10 s its table in force is the platform's

  Scenario: the platform is down while peers differ
    Guards against abandoning the comparison after the first failed read.

    Given a daemon that received the table from a peer, with a row missing
    When a peer with the platform's table sends gossip
    And the platform does not respond for 30 s
    Then within 120 s its table in force is the platform's

  Scenario: a removed row is not a difference
    Guards against replacing a correct table: copies keep a removed row as an
    empty one.

    Given a watcher that received the table from a peer
    When a team is removed, and the daemon reads the edit
    Then it has compared its table within 360 s and found no difference

  Scenario: peers that differ for long do not overload the platform
    Guards against a full read on each gossip of a peer whose own table is
    wrong.  The daemon makes at most one full read a minute.

    Given a daemon that received the table from a peer
    When a peer with another table sends gossip for 300 s
    Then it has read the whole table at most 6 times
    And its table in force is the platform's

  Scenario: an old whole reading arrives
    Guards against replacing a newer table by a full read from a lagging
    replica.

    Given a daemon that received the table from a peer
    When sapporo is taken out, and the daemon reads the edit
    And it reconciles its table with the platform's earlier one
    Then its table in force is the platform's
