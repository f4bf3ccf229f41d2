Feature: A daemon's table is the platform's, however it came
  Versions are compared by their number each time a daemon reads; rows that
  differ at the same number would stay until somebody edits them.

  Background:
    Given the example declaration is in the platform's table

  Scenario Outline: <what> is held at the platform's version
    Guards against a wrong row that no reading and no edit of others ends.

    Given a watcher that took the table from a peer, with <what>
    Then within <span> s its table in force is the platform's
    And the log names the rows that differed

    Examples:
      | what                                  | span |
      | a data centre that is out by its copy | 360  |
      | a row that the platform has not       | 360  |
      | a row missing                         | 360  |

  Scenario: a peer holds other rows at the same version
    Guards against a wrong row of a daemon that is no watcher: its peers tell
    other digests, and nobody looks at the rows.

    Given a daemon that took the table from a peer, with a row missing
    When it hears a peer with the platform's table
    Then within 10 s its table in force is the platform's

  Scenario: a wrong row outlives an edit of another
    Guards against a delta that hides what differs below it.

    Given a daemon that took the table from a peer, with a row missing
    When sapporo is taken out, and the daemon reads that
    And it hears a peer with the platform's table
    Then within 10 s its table in force is the platform's

  Scenario: the platform is down while peers differ
    Guards against giving up the comparison at the first failure.

    Given a daemon that took the table from a peer, with a row missing
    When it hears a peer with the platform's table
    And the platform does not answer for 30 s
    Then within 120 s its table in force is the platform's

  Scenario: a removed row is no difference
    Guards against replacing a table that is right: copies keep a removed row
    as an empty one.

    Given a watcher that took the table from a peer
    When a team is removed, and the daemon reads that
    Then it has compared its table within 360 s and found no difference

  Scenario: peers that differ for long do not make the platform's load
    A daemon that is right can't mend one that is wrong. It reads the whole
    table once a minute at most.

    Given a daemon that took the table from a peer
    When it hears a peer with another table for 300 s
    Then it has read the whole table at most 6 times
    And its table in force is the platform's

  Scenario: an old whole reading arrives
    Guards against a reading from a replica that lags in place of a newer
    table.

    Given a daemon that took the table from a peer
    When sapporo is taken out, and the daemon reads that
    And it compares its table with the platform's of before
    Then its table in force is the platform's
