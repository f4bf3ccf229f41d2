Feature: Groups of real processes
  One process a VM, a platform and two daemons; everything over sockets.

  Scenario: a declared group forms, loses a VM, and comes back with a spare
    The daemons read the declaration, the list and the VMs, and one gives the
    orders.  A VM dies: rank 0 is still up and answers, but the caller gets
    another group's answer or a refusal, never one of half a group.
    Given 5 VMs of one domain, 2 daemons, and a declared group of 3
    Then each daemon answers from the group
    And the operators' tool shows 1 serving group
    When a VM of the group that is not rank 0 is killed
    Then within 3 s each daemon refuses and says that nothing was run
    And no answer was cut or made by half a group
    And each daemon answers from the group
    And the platform's rows and the engines say the same

  Scenario: the leader is killed and the other daemon carries on
    Given 5 VMs of one domain, 2 daemons, and a declared group of 3
    Then each daemon answers from the group
    When the daemon that leads is killed
    And a VM of the group that is not rank 0 is killed
    Then the daemon that is left answers from the group again
