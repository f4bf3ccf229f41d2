Feature: Several leaders never give one VM away twice
  A leader can be killed, paused or cut off at any moment, and may believe
  for long that it holds the lease.

  Scenario Outline: two leaders that both believe they lead
    Both read the same rows and the same lease, and plan with one VM, or for
    one group.  The second transaction meets the row changed, and writes
    nothing.
    Given two leaders that read the same rows and the same lease
    When one writes group <first> and then the other <second>
    Then the second is told of the row <row>

    Examples:
      | first     | second    | row          |
      | one:v1,v2 | two:v2,v3 | group_vms.a/v2 |
      | one:v1,v2 | one:v3,v4 | groups.a/one |

  Scenario: a leader that slept before its write changes nothing
    A VM is silent, and the holder decides to replace it.  Before it writes,
    it sleeps; the VM is back, and another holds the lease.  The rows are as
    they were: only the lease tells that the decision is old.
    Given engines that refuse old orders
    When a leader sleeps before it writes a replacement that nobody needs
    Then the group serves with the same VMs and the same fence

  Scenario Outline: a leader dies at each call while a group is made
    The process stops right before or after a call to the platform or to an
    engine.  The other takes the lease, and carries on from the rows alone.
    Given engines that <fence> old orders
    When a leader dies at each call while a <change> is made
    Then each time the groups serve, and no VM was given away twice

    Examples:
      | fence  | change       |
      | refuse | new group    |
      | ignore | new group    |
      | refuse | replacement  |
      | ignore | replacement  |
      | refuse | new version  |
      | ignore | new version  |

  Scenario Outline: a leader is paused past its lease at each call
    The process sleeps at the call, another takes over and changes the same
    group; then it goes on where it was, and believes what it had read.
    Given engines that <fence> old orders
    When a leader sleeps at each call while a <change> is made
    Then each time the groups serve, and no VM was given away twice

    Examples:
      | fence  | change      |
      | refuse | new group   |
      | ignore | new group   |
      | refuse | replacement |
      | ignore | replacement |

  Scenario: a leader wakes after a long write and gives no order
    Its write of the intent takes longer than the lease.  By then another
    may own the VMs: the clock is read again, and the order stays unsent.
    Given engines that refuse old orders
    When a leader sleeps in the write of an intent and wakes alone
    Then it gave no order after its lease had lapsed

  Scenario Outline: the answer of each write is lost in turn
    The write took effect, and nobody told the leader.  The rows carry the
    attempt: what stands is read back before any order is given.
    Given engines that <fence> old orders
    When the answer of each write is lost in turn
    Then each time the groups serve, and no VM was given away twice

    Examples:
      | fence  |
      | refuse |
      | ignore |

  Scenario: the lease is given up when its holder stops
    Given engines that refuse old orders
    When the holder of the lease stops in order
    Then another holds the lease within 3500 ms

  Scenario: the lease is waited out when its holder dies
    Given engines that refuse old orders
    When the holder of the lease dies
    Then another holds the lease within 14000 ms
    And it did not before 10000 ms
