Feature: A daemon polls the table and never returns to an older version
  It reads incremental changes, and keeps the last valid version through
  outages, late responses and stale copies.

  Background:
    Given the example declaration is in the table
    And a daemon that has read the table

  Scenario: a poll reads only changed rows
    When datacentres/sapporo state becomes "out"
    And the daemon polls
    Then the daemon is at version 2
    And the poll returned 2 rows

  Scenario: a removed row disappears from the table
    When teams/ledger and its limit are removed
    And the daemon polls
    Then the daemon has no teams/ledger
    And the daemon is at version 2

  Scenario: during an outage the version stays in force and its age grows
    The platform is down for a minute.  Callers are served by the last
    version, and operators see its age.  The daemon polls less often, with
    jitter so that daemons do not poll at the same moment.

    When the platform is down for 60 polls
    Then the daemon is at version 1
    And its table is 60000 ms old
    And its poll delay is spread between 3200 and 4800 ms
    When the platform is back
    And the daemon polls
    Then its table is 0 ms old
    And its poll delay is spread between 280 and 420 ms

  Scenario: a late response is ignored
    A response is delayed while a later read returns version 3.  It must not
    take the daemon back to version 2.

    When a scan is sent and its response delayed at version 2
    And datacentres/sapporo state becomes "in"
    And the daemon polls
    Then the daemon is at version 3
    When the delayed response arrives
    Then the daemon is at version 3

  Scenario: a store that was restored to an older state is rejected
    When the store is replaced by an older one
    And the daemon polls
    Then the poll is rejected with "an older revision"
    And the daemon is at version 1

  Scenario Outline: an incomplete edit is rejected
    When the platform returns <part>
    Then the poll is rejected with "<why>"
    And the daemon is at version 1

    Examples:
      | part                      | why                 |
      | rows without the head     | rows without        |
      | rows newer than the head  | rows newer than     |

  Scenario Outline: deltas of peers that do not follow the held revision
    When a peer sends a delta from <base> to <to>
    Then the delta is <outcome>
    And the daemon is at version 1

    Examples:
      | base | to | outcome |
      | 0    | 1  | ignored |
      | 0    | 0  | ignored |
      | 2    | 3  | a gap   |

  Scenario: rows that are invalid in this release leave the last version
    When a newer release sets datacentres/sapporo state to "draining"
    And the daemon polls
    Then the daemon is at version 1
    And it reports a mistake in datacentres/sapporo
    When a newer release sets datacentres/sapporo state to "out"
    And the daemon polls
    Then the daemon is at version 3
