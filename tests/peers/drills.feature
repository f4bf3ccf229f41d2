Feature: Peers in separate processes
  Three daemons of one data centre run with a platform and two engines.

  Scenario: a daemon is killed
    The killed daemon can't announce that it leaves, and it coordinated
    upstreams.  If the others didn't mark it dead and take over, loads would
    get old and edits would not come into force.
    Given three daemons that know each other
    When one daemon is killed
    Then the other two mark it dead and know every upstream's load
    And an edit comes into force on them

  Scenario: a daemon is stopped for longer than a lease
    A debugger, or the migration of its VM, stops a daemon for 8 s.  It must
    not continue with its outdated view.
    Given three daemons that know each other
    When one daemon is stopped for 8 s and resumed
    Then it acts again in a new incarnation
    And every daemon sees three members

  Scenario: invalid messages arrive at the peers' port
    Given three daemons that know each other
    When a stranger sends invalid messages to one of them
    Then it counts them and still knows its peers
