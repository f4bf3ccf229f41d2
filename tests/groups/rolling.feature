Feature: Changes are rolled out group by group
  If all replicas of a model closed for a change at once, its callers would
  have none until the weights are loaded.

  Scenario Outline: the configuration of the engines changes
    In turn, each group stops accepting requests, drains, receives its
    orders, and serves again.  No more groups are closed at once than
    declared.
    Given 4 serving groups of 2 VMs, of which <most> may be closed
    When operators change the <what>
    Then at no time are more than <most> closed
    And within 200 s all 4 serve with the change

    Examples:
      | what    | most |
      | version | 1    |
      | version | 2    |
      | model   | 1    |
      | adapter | 1    |
      | role    | 1    |
      | size    | 1    |

  Scenario: a broken group counts as closed
    Two of four groups are down with no spare.  A change must wait and not
    close a third one.
    Given 4 serving groups of 2 VMs, of which 1 may be closed
    When two groups lose a VM each
    And operators change the version
    And 60 s pass
    Then the number of serving groups is 2

  Scenario Outline: loads from the weight store are limited by slots
    After a start all groups have to load, but the store can handle one load
    at a time, and a load takes longer than the lifetime of a slot.  A new
    leader must count the loads that the previous one started.
    Given 4 groups of 2 VMs that start with 1 load slot
    When the leader <fate> after 20 s
    Then never more than 1 group loads at once
    And within 200 s all 4 serve with the change

    Examples:
      | fate  |
      | stays |
      | dies  |

  Scenario: a group that is no longer declared releases its VMs
    Given 4 serving groups of 2 VMs, of which 1 may be closed
    When the declared replicas are set to 1
    And 40 s pass
    Then the number of serving groups is 1
    And every other VM is empty
