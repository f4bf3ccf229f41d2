Feature: Replica groups of real processes
  Runs one process per VM, a platform and two daemons, connected by sockets.

  Scenario: a group forms, loses a VM, and is repaired with a spare
    The daemons read the declaration, the list and the VMs, and one of them
    sends the orders.  When a VM is killed, rank 0 is still up and answers;
    callers must get a refusal or an answer of another group, never one of
    the incomplete group.
    Given 5 VMs of one domain, 2 daemons, and a declared group of 3
    Then each daemon answers from the group
    And the operators' tool shows 1 serving group
    When a VM of the group that is not rank 0 is killed
    Then within 3 s each daemon refuses without a run, or a new group answers
    And no answer of an incomplete group was reported as complete
    And each daemon answers from the group
    And the platform's rows match the engines

  Scenario: the leader is killed and the other daemon takes over
    Given 5 VMs of one domain, 2 daemons, and a declared group of 3
    Then each daemon answers from the group
    When the leader is killed
    And a VM of the group that is not rank 0 is killed
    Then the remaining daemon answers from the group again

  Scenario: the platform is out
    Rows and list can't be read, and the lease can't be renewed.  The group
    continues to serve by its read-backs, which also close it when a VM is
    lost.  Once the platform is back, the VM is replaced by the spare.
    Given 5 VMs of one domain, 2 daemons, and a declared group of 3
    Then each daemon answers from the group
    When the platform's services are down
    Then each daemon answers for 5 s
    When a VM of the group that is not rank 0 is killed
    Then after 3 s each daemon refuses and reports that nothing was run
    When the platform's services are up
    Then each daemon answers from the group
