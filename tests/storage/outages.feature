Feature: An outage of the store is not answered by a storm of calls
  Pattern: the store resets every connection for 8 s while 40 daemons follow a
  table.  Each call is paid for, also one that fails at once.

  Scenario: the store resets all calls for 8 s
    Guards against calls of each daemon several times a second, each of which
    fails at once.

    Given 40 daemons with the rows of the store
    When the store resets all calls for 8 s
    Then the daemons have made at most 400 calls meanwhile

  Scenario: the store is back after 8 s
    Guards against daemons that learn late that it is back.

    Given 40 daemons with the rows of the store
    When the store resets all calls for 8 s
    And a row is deleted, and 1 s passes
    Then all daemons have the rows of the store

  Scenario: the reader is lost during the outage
    Guards against a successor that waits as long as the others before it
    calls again.

    Given 40 daemons with the rows of the store
    When the store resets all calls for 8 s, and the reader is another one after 7 s
    And a row is deleted, and 1 s passes
    Then all daemons have the rows of the store

  Scenario: the store stays away from one daemon
    Guards against a daemon that, without the store, misses what the reader
    tells all.

    Given 40 daemons with the rows of the store
    When the store resets all calls of one daemon for 8 s
    And a row is deleted, and 1 s passes
    Then all daemons have the rows of the store

  Scenario Outline: a read <when>, after <failed> that failed
    Guards against a second call at once of a read that fails anyway, and
    against a read that trusts a silent connection after it worked.

    Given a platform that resets all connections
    When the table is read after <failed> reads that failed
    Then that read made <calls> calls

    Examples:
      | when             | failed | calls |
      | that fails first | 0      | 2     |
      | in an outage     | 1      | 1     |
      | in an outage     | 3      | 1     |
