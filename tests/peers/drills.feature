Feature: Peers in separate processes
  Three daemons of one data centre with a platform and two engines.

  Scenario: a daemon is killed
    It gets no chance to say goodbye, and it kept upstreams.  The others bury
    it, and one of them polls its upstreams; edits go on coming into force.
    Given three daemons that know each other
    When one daemon is killed
    Then the other two bury it and know every upstream's load
    And an edit comes into force on them

  Scenario: a daemon is stopped for longer than a lease
    The operator's debugger, or a VM that is moved, stops it for 8 s.  It
    must not go on as if nothing had happened.
    Given three daemons that know each other
    When one daemon is stopped for 8 s and goes on
    Then it begins a new life and acts again
    And every daemon sees three members

  Scenario: junk arrives at the peers' port
    Given three daemons that know each other
    When a stranger sends junk to one of them
    Then it counts the junk and still knows its peers
