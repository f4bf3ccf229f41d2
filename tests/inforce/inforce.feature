Feature: An accepted edit is in force everywhere within seconds
  Runs real daemons in two data centres, the platform's process and the
  operators' tool.

  Scenario: an edit comes into force, and the tool reports it
    Given 6 daemons with a table in force
    When the operator takes hakodate out
    Then it is in force on all within 2000 ms
    And the status exits 0 and names no daemon

  Scenario: a watcher is killed right before an edit
    Guards against an edit that waits until the killed watcher is marked
    dead.  The second watcher of the data centre must distribute it; there is
    no other data centre.

    Given 4 daemons of one data centre with a table in force
    When a watcher is killed
    And the operator takes hakodate out
    Then it is in force on all live daemons within 3000 ms
    And the status names the killed daemon until it is marked dead

  Scenario: a daemon starts while the platform is down
    Running daemons serve callers by the last version.  A daemon that starts
    has only its peers; it must not serve callers by an empty table, nor by
    an older version than theirs.

    Given 4 daemons with a table in force
    When the platform stops responding
    Then an edit exits 4 and changes nothing
    And all daemons stay ready with their version
    When a new daemon starts
    Then it becomes ready with the version of its peers
    When the platform responds again
    And the operator takes hakodate out
    Then it is in force on all within 9000 ms

  Scenario: the store is slow
    Each response takes 1.5 s.  Guards against treating slow responses as an
    outage: an edit only takes longer.

    Given 4 daemons with a table in force
    When each response of the platform takes 1500 ms
    And the operator takes hakodate out
    Then it is in force on all within 9000 ms

  Scenario: a daemon without platform and peers is not ready
    Given the platform does not respond
    When a lone daemon starts
    Then it stays not ready for 1500 ms
    When the platform responds again
    Then it becomes ready once a table is applied

  Scenario: a daemon is paused during an edit
    It resumes with the old version and with messages from before the edit.
    It must reach the new version and never return to an older one.

    Given 4 daemons with a table in force
    When a daemon is paused
    And the operator takes hakodate out
    Then it is in force on the others within 2000 ms
    And the status names the paused daemon
    When the paused daemon resumes
    Then it is in force on all within 9000 ms
    And no daemon's version ever fell
