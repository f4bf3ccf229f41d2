Feature: A new leader plans only from a list that it has read itself

  Scenario: a daemon takes the lead with an old list
    Guards against a runner in two groups: the list of a new leader comes from
    its predecessor, which may have formed and opened another group before it
    resigned.

    Given a daemon that has received a list of 6 free runners from the leader
    When it acquires the lease and does not read the list itself for 1 s
    Then it has sent no order
