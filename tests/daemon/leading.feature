Feature: A daemon that takes the lead plans from its own reading

  Scenario: a daemon takes the lead with an old list
    Guards against a member of two groups: what a new leader holds was told by
    its predecessor, which formed and opened a group after that and resigned.

    Given a daemon that holds a list with 6 free runners, told by the leader
    When it takes the lead, and has not read the list itself for 1 s
    Then it has given no order
