Feature: A group with a lost VM receives no requests
  A replica fails as a whole if one of its VMs is lost.  Without these checks
  callers would wait for a dead VM instead of getting an answer of another
  group, or a refusal, at once.

  Scenario Outline: a lost VM is replaced by a spare of its domain
    The VM is lost between two polls; the next ones are refused or time out.
    Routing drops the group before any row is written.  The spare loads its
    shard while the other VMs keep theirs, and the group serves again.
    Given domains "a" of <vms> VMs each, and serving groups of 4 VMs: 1
    When one of its VMs is <lost>
    Then routing drops the group within <detection> ms
    And the group serves again within <downtime> ms with <whom>

    Examples:
      | vms | lost        | detection | downtime | whom         |
      | 5   | killed      | 1000      | 22000    | a spare      |
      | 5   | restarted   | 1000      | 23000    | the same VMs |
      | 5   | unreachable | 3000      | 24000    | a spare      |

  Scenario Outline: a VM is lost and there is no spare
    The group stays closed until the VM returns.  If the VM kept its weights,
    the group reopens at once, otherwise after a load.
    Given domains "a" of 4 VMs each, and serving groups of 4 VMs: 1
    When one of its VMs is <lost>
    And 60 s pass
    Then the number of serving groups is 0
    When the lost VM returns
    Then the group serves again within <downtime> ms

    Examples:
      | lost        | downtime |
      | killed      | 23000    |
      | unreachable | 2000     |

  Scenario: one of two broken groups of a domain completes the other
    Each group lacks one VM, and their domain has no spare.  Waiting would
    strand six VMs, so one group is dissolved to repair the other.
    Given domains "a" of 8 VMs each, and serving groups of 4 VMs: 2
    When one VM of each group is killed
    And 40 s pass
    Then the number of serving groups is 1

  Scenario: a whole domain is unreachable and returns
    All VMs of the domain stop answering at once.  Its groups close within
    3 s and are placed in the other domain.  The VMs return with weights of
    an outdated group, and are cleared before they are free.
    Given domains "a,b" of 8 VMs each, and serving groups of 4 VMs: 2
    When the domain of a group becomes unreachable
    Then routing drops the group within 3000 ms
    And the group serves again within 27000 ms
    When the domain is reachable again
    And 40 s pass
    Then the number of serving groups is 2
    And every other VM is empty

  Scenario: the VM list is outdated
    The list still contains a lost VM and lacks a serving one.  A VM counts
    as up or lost only by the read-backs of its engine.
    Given domains "a" of 5 VMs each, and serving groups of 4 VMs: 1
    When the spare is killed but still listed
    And the list lacks a serving VM
    And 30 s pass
    Then the number of serving groups is 1
    When one of its VMs is killed
    And 30 s pass
    Then the number of serving groups is 0

  Scenario: a leaving VM is replaced after its requests ended
    The platform marks a VM as leaving.  The group accepts no new requests.
    The VM is replaced only once those in progress have ended, so that none
    is aborted.
    Given domains "a" of 5 VMs each, and serving groups of 4 VMs: 1
    And its first VM has 1 request in progress
    When its last VM is marked as leaving
    And 10 s pass
    Then no order was sent to the group
    When the request ends
    Then the group serves again within 24000 ms with a spare

  Scenario: the platform is down
    Routing continues with read-backs alone, and still drops a group that
    loses a VM.  No orders are sent until the platform answers.
    Given domains "a,b" of 5 VMs each, and serving groups of 4 VMs: 2
    When the platform is down
    And 60 s pass
    Then the number of serving groups is 2
    When one VM of a group is killed
    And 60 s pass
    Then the number of serving groups is 1
    When the platform is up
    And 40 s pass
    Then the number of serving groups is 2

  Scenario Outline: a VM leaves <count> read-backs in a row unanswered
    Guards against closing a group because a single read-back was late.

    Given domains "a" of 5 VMs each, and serving groups of 4 VMs: 1
    When <count> read-backs of one of its VMs get no answer
    And states are computed 2300 ms after its last answer
    Then these states show <serving> serving groups

    Examples:
      | count | serving |
      | 1     | 1       |
      | 2     | 0       |

  Scenario: an outdated state is not used for routing
    All leaders are killed together with a VM.  The last known state says
    that the group serves; it must expire after three seconds.
    Given domains "a" of 5 VMs each, and serving groups of 4 VMs: 1
    When all leaders and one VM of the group are killed
    And 3 s pass
    Then the number of serving groups is 0

  Scenario: the name of a dissolved group is reused for other VMs
    The new VMs never had an order, so their own fences are low.  The new
    group's states must not look older than those of the first group.
    Given domains "a,b" of 5 VMs each, and serving groups of 4 VMs: 1
    When one of its VMs is killed
    And 30 s pass
    And the declared replicas are set to 0
    And 40 s pass
    And the domain of a group becomes unreachable
    And the declared replicas are set to 1
    And 40 s pass
    Then the number of serving groups is 1
