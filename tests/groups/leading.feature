Feature: Several leaders never assign a VM twice
  A leader can be killed, paused or cut off at any moment, and may wrongly
  believe that it holds the lease.

  Scenario Outline: two leaders that both believe they lead
    Both read the same rows and lease, and plan with the same VM or for the
    same group.  The second transaction must fail, as the row has changed.
    Given two leaders that read the same rows and the same lease
    When one writes group <first> and then the other <second>
    Then the second write conflicts with the row <row>

    Examples:
      | first     | second    | row          |
      | one:v1,v2 | two:v2,v3 | group_vms.a/v2 |
      | one:v1,v2 | one:v3,v4 | groups.a/one |

  Scenario: a leader that was paused before its write changes nothing
    The leader decides to replace a VM that does not answer, and is paused
    before it writes.  Meanwhile the VM returns and another leader acquires
    the lease.  The rows are unchanged; only the condition on the lease
    rejects the outdated decision.
    Given engines that refuse old orders
    When a leader is paused before it writes a replacement no longer needed
    Then the group serves with the same VMs and the same fence

  Scenario Outline: a leader dies at each call during a change
    The process is killed right before or after a call to the platform or an
    engine.  The other leader acquires the lease and continues from the rows.
    Given engines that <fence> old orders
    When a leader dies at each call during a <change>
    Then each time the groups serve, and no VM was assigned twice

    Examples:
      | fence  | change       |
      | refuse | new group    |
      | ignore | new group    |
      | refuse | replacement  |
      | ignore | replacement  |
      | refuse | new version  |
      | ignore | new version  |

  Scenario Outline: a leader is paused past its lease at each call
    The process is paused at the call, and another leader takes over and
    changes the same group.  Then the first one resumes with outdated data.
    Given engines that <fence> old orders
    When a leader is paused at each call during a <change>
    Then each time the groups serve, and no VM was assigned twice

    Examples:
      | fence  | change      |
      | refuse | new group   |
      | ignore | new group   |
      | refuse | replacement |
      | ignore | replacement |

  Scenario: a leader sends no order after a write that outlasts its lease
    The write of the intent takes longer than the lease, so another leader
    may have assigned the VMs.  The clock must be read again before sending.
    Given engines that refuse old orders
    When a leader's write of an intent outlasts its lease
    Then it sent no order after its lease had expired

  Scenario Outline: the answer of each write is lost in turn
    The write took effect, but the leader gets no answer.  It must find its
    attempt in the rows before it sends any order.
    Given engines that <fence> old orders
    When the answer of each write is lost in turn
    Then each time the groups serve, and no VM was assigned twice

    Examples:
      | fence  |
      | refuse |
      | ignore |

  Scenario: the lease is released when its holder stops
    Given engines that refuse old orders
    When the holder of the lease stops gracefully
    Then another holds the lease within 3500 ms

  Scenario: the lease expires when its holder dies
    Given engines that refuse old orders
    When the holder of the lease dies
    Then another holds the lease within 14000 ms
    And it did not hold it before 10000 ms
