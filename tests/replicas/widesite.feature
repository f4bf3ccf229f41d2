Feature: Replicas are wanted by data centre
  Large replicas lose a member more often than small ones, and are harder to
  form again.

  Scenario: a large replica without a spare loses a member
    Pattern: 3 members of the large replicas of one domain, which has 1 spare,
    are lost 5 s apart. Guards against small replicas that nobody
    lacks being formed from the runners of a large one that is wanted.

    Given a wide site that looks at data centres, with 18 requests at "m0" and 150 at "m1"
    When 3 members of large replicas of domain 0 are lost, 5 s apart
    Then domain 0 has a large replica
    And at most 2 complete replicas have been closed, none of "m0"
    And no promise about groups was broken at the wide site

  Scenario: the small model's load rises, and its callers do not wait
    Pattern: the small model is at 0.6 of its slots. Guards against a large
    replica given up for small ones that nobody misses.

    Given a wide site that looks at data centres, with 18 requests at "m0" and 270 at "m1"
    When 20 s pass at the wide site
    Then at most 0 complete replicas have been closed, none of "m0"

  Scenario: the small model's callers wait in each data centre
    Pattern: the small model asks for 1.2 of its slots and the large one for
    0.1 of its. Guards against large replicas that stand idle.

    Given a wide site that looks at data centres, with 9 requests at "m0" and 540 at "m1"
    When 20 s pass at the wide site
    Then more than 30 replicas of "m1" serve, and at least 3 of "m0"
    And no promise about groups was broken at the wide site

  Scenario: an added runner in the domain of a large replica
    Guards against a spare that must load for 16 s before it can repair it.

    Given a wide site that looks at data centres, with 18 requests at "m0" and 150 at "m1"
    When a runner without weights is added to domain 0
    And 5 s pass at the wide site
    Then it has "m0" staged

  Scenario: a domain's large replicas lose their head
    Guards against a plan that lets the members of a lost head join another
    group before that head must have broken.

    Given a wide site that looks at data centres, with 18 requests at "m0" and 150 at "m1"
    When the head of a large replica of domain 0 is lost silently
    Then no member of it joins another group for 4 s
    And within 8 s 6 replicas of "m0" serve

  Scenario: a service with one size of replica
    Guards against a change where the configuration calls for none.

    Given 6 domains of 11 runners with one model, by data centre
    Then nothing is wanted by data centre

  Scenario Outline: models of <large> and <small> runners
    Guards against small replicas that make room for the repair of replicas
    that are seldom lost.

    Given a service with models of <large> and <small> runners
    Then its replicas are wanted <how>

    Examples:
      | large | small | how             |
      | 16    | 4     | by data centre  |
      | 16    | 8     | for the service |
      | 8     | 2     | for the service |
