Feature: A group with a VM missing takes no work
  Losing any one VM kills the whole replica.  The caller must see a refusal
  or another group at once, never an answer that waits for a dead VM.

  Scenario Outline: one VM goes, and a spare of its domain takes its place
    The VM goes between two polls; the next ones find it refused or silent.
    Routing loses the group before any row is written.  The spare loads its
    part while the others keep theirs, and the group serves again.
    Given domains "a" of <vms> VMs, serving groups of 4: 1
    When one of its VMs is <lost>
    Then routing loses the group within <detection> ms
    And the group serves again within <downtime> ms with <whom>

    Examples:
      | vms | lost      | detection | downtime | whom         |
      | 5   | killed    | 1000      | 22000    | a spare      |
      | 5   | restarted | 1000      | 23000    | the same VMs |
      | 5   | dark      | 3000      | 24000    | a spare      |

  Scenario Outline: a VM goes and there is no spare
    Without a spare the group stays closed.  The VM comes back as it was, or
    empty, and the group reopens at once or after a load.
    Given domains "a" of 4 VMs, serving groups of 4: 1
    When one of its VMs is <lost>
    And 60 s pass
    Then the groups that serve are 0
    When its VM comes back
    Then the group serves again within <downtime> ms

    Examples:
      | lost   | downtime |
      | killed | 23000    |
      | dark   | 2000     |

  Scenario: two broken groups of a domain make one
    Each group lacks one VM, and their domain has no spare.  Waiting would
    strand six VMs; one group gives up its VMs, and the other serves again.
    Given domains "a" of 8 VMs, serving groups of 4: 2
    When one VM of each group is killed
    And 40 s pass
    Then the groups that serve are 1

  Scenario: a whole domain goes dark and comes back
    All VMs of the domain fall silent at once.  Its groups close within 3 s,
    to be placed in the other domain; the VMs come back holding a group that
    is not theirs any more, so they are emptied before they are spare.
    Given domains "a,b" of 8 VMs, serving groups of 4: 2
    When the domain of a group goes dark
    Then routing loses the group within 3000 ms
    And the group serves again within 27000 ms
    When the domain comes back
    And 40 s pass
    Then the groups that serve are 2
    And every other VM is empty

  Scenario: the VM list lags behind
    The list still shows a VM that is gone, and does not show one that
    serves.  Neither is believed before the engine itself was read back.
    Given domains "a" of 5 VMs, serving groups of 4: 1
    When the spare is killed and the list still shows it
    And the list loses a VM that serves
    And 30 s pass
    Then the groups that serve are 1
    When one of its VMs is killed
    And 30 s pass
    Then the groups that serve are 0

  Scenario: a VM that is leaving is replaced after its requests ended
    The platform says that a VM will leave.  The group takes no new work,
    its requests end, and the spare takes the place: nothing is cut off.
    Given domains "a" of 5 VMs, serving groups of 4: 1
    And its first VM has 1 request in progress
    When its last VM is marked as leaving
    And 10 s pass
    Then no order was given to the group
    When the request ends
    Then the group serves again within 24000 ms with a spare

  Scenario: the platform is down
    Routing goes on with read-backs alone, and still closes a group that
    loses a VM; nobody gives an order until the platform answers.
    Given domains "a,b" of 5 VMs, serving groups of 4: 2
    When the platform is down
    And 60 s pass
    Then the groups that serve are 2
    When one VM of a group is killed
    And 60 s pass
    Then the groups that serve are 1
    When the platform is up
    And 40 s pass
    Then the groups that serve are 2

  Scenario Outline: a VM leaves <count> read-backs in a row unanswered
    Guards against refusals for a whole group since one read-back was late.

    Given domains "a" of 5 VMs, serving groups of 4: 1
    When <count> read-backs of one of its VMs get no answer
    And states are made 2300 ms after its last answer
    Then <serving> groups serve by these states

    Examples:
      | count | serving |
      | 1     | 1       |
      | 2     | 0       |

  Scenario: a remembered state is not routed on
    The only watcher dies, and a VM with it.  What routing was told last
    says that the group serves; three seconds later it says nothing.
    Given domains "a" of 5 VMs, serving groups of 4: 1
    When all leaders die, and one VM of the group
    And 3 s pass
    Then the groups that serve are 0

  Scenario: a name is used again for other VMs
    A group is given up, and later its name goes to VMs that never had an
    order.  Its states must not be taken for old ones of the first group.
    Given domains "a,b" of 5 VMs, serving groups of 4: 1
    When one of its VMs is killed
    And 30 s pass
    And operators want 0 group
    And 40 s pass
    And the domain of a group goes dark
    And operators want 1 group
    And 40 s pass
    Then the groups that serve are 1
