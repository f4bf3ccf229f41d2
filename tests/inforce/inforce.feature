Feature: An accepted edit is in force everywhere within seconds
  Real daemons in two data centres, the platform's process, and edits made
  by the operators' tool.

  Scenario: an edit comes into force, and the tool says so
    Given 6 daemons with a table in force
    When the operator takes hakodate out
    Then it is in force on all within 2000 ms
    And the status exits 0 and names nobody

  Scenario: a watcher dies with an edit on its way
    A data centre has two watchers.  One is killed right before an edit is
    committed, long before it can count as dead; the other brings the edit.
    There is no other data centre that could.

    Given 4 daemons of one data centre with a table in force
    When a watcher is killed
    And the operator takes hakodate out
    Then it is in force on all that live within 3000 ms
    And the status names the dead one until it counts as dead

  Scenario: the platform goes down, and a daemon starts afresh
    Callers are served by the last version.  A daemon that starts meanwhile
    has only its peers; it must not serve callers by an empty table, nor by
    an older version than theirs.

    Given 4 daemons with a table in force
    When the platform stops answering
    Then an edit exits 4 and changes nothing
    And all daemons stay ready with their version
    When a daemon starts afresh
    Then it gets ready with the version of its peers
    When the platform answers again
    And the operator takes hakodate out
    Then it is in force on all within 9000 ms

  Scenario: a daemon without platform and peers is not ready
    Given the platform does not answer
    When a lone daemon starts
    Then it stays not ready for 1500 ms
    When the platform answers again
    Then it gets ready once a table is applied

  Scenario: a daemon is paused while an edit goes by
    It wakes with the old version, and with messages of before the edit.  It
    must end with the new one and never go back.

    Given 4 daemons with a table in force
    When a daemon is paused
    And the operator takes hakodate out
    Then it is in force on the others within 2000 ms
    And the status names the paused one
    When the paused daemon goes on
    Then it is in force on all within 9000 ms
    And no daemon's version ever fell
