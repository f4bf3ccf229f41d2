Feature: Changes roll over the groups
  Closing all replicas of a model for a change leaves its callers with none
  for the time of a load.

  Scenario Outline: a change of what the engines run
    One group after the other takes no new work, ends its requests, gets its
    orders and serves again, never more at once than the table allows.
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

  Scenario: a group that broke counts as closed
    Two of four groups are down with no spare.  A change waits rather than
    close a third.
    Given 4 serving groups of 2 VMs, of which 1 may be closed
    When two groups lose a VM each
    And operators change the version
    And 60 s pass
    Then the groups that serve are 2

  Scenario Outline: loads from the weight store share their slots
    All groups want to load at once after a start; the store bears one, and
    a load outlasts the time that a slot is lent for.  A new leader counts
    the loads that the one before began.
    Given 4 groups of 2 VMs that start with 1 load slot
    When the leader <fate> after 20 s
    Then never more than 1 group loads at once
    And within 200 s all 4 serve with the change

    Examples:
      | fate  |
      | stays |
      | dies  |

  Scenario: a group that is not declared any more gives its VMs back
    Given 4 serving groups of 2 VMs, of which 1 may be closed
    When operators want 1 group
    And 40 s pass
    Then the groups that serve are 1
    And every other VM is empty
