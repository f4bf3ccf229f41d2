Feature: Calls to the platform do not grow with the daemons
  Pattern: 195 daemons start within 0.3 s, run, lose their leader, and lose
  power at once.  Each call is paid for, and the calls of all daemons at one
  moment delay those of the leader.

  Scenario: the first start
    Guards against 195 attempts to acquire the lease, and against a scan by
    each daemon whenever the leader knows one daemon more.

    Given 195 daemons that start for the first time
    When 8 s pass
    Then one daemon leads
    And those that don't lead have made at most 2 calls each
    And each knows all daemons

  Scenario: nothing happens
    Given 195 daemons that start for the first time
    When 8 s pass
    And 30 s pass again
    Then only the leader has made calls in these 30 s

  Scenario: the leader dies
    Guards against 195 daemons that look for a free lease at once.

    Given 195 daemons that start for the first time
    When 8 s pass
    And the leader is killed and 6 s pass
    Then one daemon leads
    And they have made at most 60 calls in this time

  Scenario: the leader and the next nine in rank die
    Guards against a fleet that waits for candidates that are dead.

    Given 195 daemons that start for the first time
    When 8 s pass
    And the leader and the next 9 in rank are killed and 6 s pass
    Then one daemon leads

  Scenario: all daemons lose power and return
    Guards against a second registration, and a rush for the lease.

    Given 195 daemons that start for the first time
    When 8 s pass
    And all are killed, start again, and 8 s pass
    Then one daemon leads
    And those that don't lead have made at most 2 calls each

  Scenario: a daemon does not hear the other daemons
    Guards against a daemon that waits forever for those of higher rank.

    Given 195 daemons that start for the first time
    When 8 s pass
    And all but the last in rank are killed and 12 s pass
    Then one daemon leads

  Scenario: the store resets all calls, and the leader dies
    Guards against a call of each daemon in each second of an outage: daemons
    of lower rank follow although those before them have not died.

    Given 195 daemons that start for the first time
    When 8 s pass
    And the store resets all calls, the leader is killed, and 8 s pass
    Then they have made at most 150 calls in this time

  Scenario: the store is back after the leader died
    Guards against candidates that wait long after an outage.

    Given 195 daemons that start for the first time
    When 8 s pass
    And the store resets all calls, the leader is killed, and 8 s pass
    And the store is back, and 4 s pass
    Then one daemon leads

  Scenario: the store is back after the leader and the next nine in rank died
    Guards against a fleet that waits for candidates that are dead.

    Given 195 daemons that start for the first time
    When 8 s pass
    And the store resets all calls, the leader and the next 9 in rank are killed, and 8 s pass
    And the store is back, and 4 s pass
    Then one daemon leads
