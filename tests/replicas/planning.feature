Feature: Replica groups are formed, and formed anew, from what runners say
  A group serves only while all its members are there.  Whoever leads plans
  from the runners' own word, so that a new leader needs nothing else.

  Scenario Outline: <domains> domains of <size>, <models>
    When <domains> domains of <size> runners start with "<models>"
    Then within <seconds> s there are <large> replicas of "large" and <small> of "small"
    And no runner was ever in two groups, and none opened incomplete

    Examples:
      | domains | size | models           | seconds | large | small |
      | 6       | 11   | large, small     | 4       | 6     | 6     |
      | 1       | 8    | large, small     | 4       | 1     | 0     |
      | 3       | 27   | large12, small6  | 4       | 3     | 6     |
      | 5       | 8    | one of 2         | 4       | 20    | 0     |
      | 2       | 5    | large, small     | 4       | 0     | 2     |

  Scenario: a member dies without a word
    The callers' streams at its head go silent together.  The list tells of
    the death only seconds later, so the members are looked at, the head is
    told to cut what runs, and the rest form a group with a spare.

    Given 6 domains of 11 runners serve
    When a member of a "large" replica dies without a word
    And the head is accused of standing still
    Then within 4 s there are 6 replicas of "large" and 6 of "small"
    And no runner was ever in two groups, and none opened incomplete

  Scenario: a head dies without a word
    Nobody can tell it from one that only can't be seen and goes on serving.
    So the others leave its group, and join no other before a head that
    stands still must have broken.

    Given 6 domains of 11 runners serve
    When the head of a "large" replica dies without a word
    And the head is accused of standing still
    Then nobody of its group joins another for 4 s
    And within 8 s there are 6 replicas of "large" and 6 of "small"

  Scenario: a head's port refuses
    A link that is cut may refuse in the place of a runner that serves on
    behind it, so this proves no more than silence.

    Given 6 domains of 11 runners serve
    When the head of a "large" replica refuses connections
    And the head is accused of standing still
    Then nobody of its group joins another for 4 s
    And within 8 s there are 6 replicas of "large" and 6 of "small"

  Scenario: the list comes back one entry after the other
    A cut has healed: a member is listed again before its head is, which has
    served all the while. A leader that never heard of the head must not take
    the member, nor tell it to leave.

    Given 6 domains of 11 runners serve
    When another daemon takes the lead
    And only the members of a "small" replica but its head are listed for 2 s
    Then no order was given to its group
    And no runner was ever in two groups, and none opened incomplete

  Scenario: a data centre is cut off from the leader
    Every runner there goes silent, and all go on serving their own callers.
    Closing them would take a third of the capacity away.

    Given 6 domains of 11 runners serve
    When every runner of "zone-1" goes silent to the leader
    And all its heads there are accused
    Then for 6 s no order is given to a runner of "zone-1"

  Scenario: a cut heals
    All behind it served their own callers. Entries lapsed and come back one
    after the other, heads last; nobody there may lose its group for it.

    Given 6 domains of 11 runners serve
    When every runner of "zone-1" goes silent to the leader
    And all its heads there are accused
    And for 4 s nothing else happens
    And the entries of "zone-1" lapse for 2 s
    And the cut heals, and its heads are listed 1 s after the others
    Then for 6 s no order is given to a runner of "zone-1"
    And within 4 s there are 6 replicas of "large" and 6 of "small"

  Scenario: a whole domain goes dark
    Another domain of the same data centre answers, so it is no cut. On their
    hosts lies the other model than each had served, so what comes back first
    is what can be formed of it without a load: two of the small one.

    Given 6 domains of 11 runners serve
    When every runner of domain 1 dies without a word
    And all its heads there are accused
    And for 9 s nothing else happens
    And the runners of domain 1 start again
    Then within 4 s there are 5 replicas of "large" and 7 of "small"

  Scenario: a runner starts again under the id that it had
    It is back in the list, without its group, before anyone was missed.

    Given 6 domains of 11 runners serve
    When a member of a "small" replica starts again under its id
    Then within 4 s there are 6 replicas of "large" and 6 of "small"
    And no runner was ever in two groups, and none opened incomplete

  Scenario: an order that had no answer is carried out seconds later
    The runner was given up and its group formed without it; its late join
    must not make anyone a member of two groups.

    Given 6 domains of 11 runners serve
    When a member of a "large" replica dies without a word
    And the spare that should replace it does not carry out its orders
    And the head is accused of standing still
    Then within 9 s there are 6 replicas of "large" and 6 of "small"
    And after its late orders there are still 6 and 6
    And no runner was ever in two groups, and none opened incomplete

  Scenario: a member is lost just as its new group opens
    The head was told to open and serves, and the list does not show it yet.
    Whoever is free by the list is not free: its group is open.

    Given 6 domains of 11 runners serve
    And the list shows changes 0.5 s late
    When a member of a "large" replica dies without a word
    And the head is accused of standing still
    And as soon as the new head is told to open, its last member dies
    And the new head is accused of standing still
    Then for 14 s no runner is in two groups

  Scenario: a cut right after a loss in the same data centre
    Another runner there answered after the loss and before the cut. That it
    answered then says nothing of the heads that go silent with the cut.

    Given 6 domains of 11 runners serve
    When a member of a "large" replica dies without a word
    And the head is accused of standing still
    And for 1 s nothing else happens
    And every runner of the same data centre goes silent to the leader
    And only its heads there come into doubt
    Then for 6 s no order but those of the lost member's group is given there

  Scenario: the list stands still while a new group opens
    The store is away. The head has answered that it opens; whoever goes by
    the old list would close a group that serves, or form another of it.

    Given 6 domains of 11 runners serve
    When a member of a "large" replica dies without a word
    And the head is accused of standing still
    And the list stands still as soon as the new head is told to open
    Then for 8 s the new group is left alone
    And no runner was ever in two groups, and none opened incomplete

  Scenario: the order to open arrives once a cut has healed
    It had no answer, and neither had the order to close. The head opens in
    the moment in which it can be seen again.

    Given 6 domains of 11 runners serve
    When a member of a "large" replica dies without a word
    And the head is accused of standing still
    And all orders to its data centre are held back once the new head is told to open
    And for 6 s nothing else happens
    And the cut heals and the orders arrive as they were given
    Then for 14 s no runner is in two groups

  Scenario: a late order to open finds its group closed again
    The first order had no answer, the second opened the group; a member was
    lost and the group closed. Then the first order is carried out, some
    hundred ms before the list can show it.

    Given 6 domains of 11 runners serve
    And the list shows changes 0.5 s late
    When a member of a "large" replica dies without a word
    And the first order to open has no answer
    And the head is accused of standing still
    And the group that is formed then loses a member and is closed
    And the first order to open is carried out
    Then for 14 s no runner is in two groups

  Scenario: a new leader that remembers nothing takes over while a group forms
    The old one ordered the joins and died before it told the head to open.

    Given 6 domains of 11 runners serve
    When a member of a "large" replica dies without a word
    And the head is accused of standing still
    And for 0.9 s nothing else happens
    And another daemon takes the lead
    Then within 6 s there are 6 replicas of "large" and 6 of "small"
    And no runner was ever in two groups, and none opened incomplete

  Scenario: a member that is cut off from the list goes on serving
    Its entry lapses while it lives and its head has all members.

    Given 6 domains of 11 runners serve
    When the entry of a member of a "large" replica lapses though it lives
    Then for 5 s no order is given to its group

  Scenario: the weight store's rate holds after the first request
    Given 3 domains of 11 runners without weights after the first request
    Then in no second more than 3 loads are started

  Scenario: the model of large replicas loses them faster than it gets them back
    Most requests go to the large model. Its replica in one domain loses a
    member three times for good; the third time the rest is one runner short
    of it. A small replica formed of them would stand idle, and the callers of
    the large model would be refused for as long as no runner comes.

    Given 2 domains of 11 runners serve
    And each "large" replica has 30 requests and each "small" one 4
    When a member of the first "large" replica dies three times, 6 s apart
    Then within 20 s there are 2 "large" and 1 "small"
    And no runner was ever in two groups, and none opened incomplete
    And for 20 s nothing is formed or closed any more

  Scenario: a model that is only a little busier takes no replica away
    Given 2 domains of 11 runners serve
    And each "large" replica has 12 requests and each "small" one 9
    When a member of the first "large" replica dies three times, 6 s apart
    Then within 20 s there are 1 "large" and 3 "small"

  Scenario: a member that leaves listens no more while its head still works
    A runner that leaves stays in its group until what the head runs has
    ended; it answers nothing meanwhile. Taken for lost, its group is cut, so
    callers lose streams that would have ended within a second or two. A
    leader's log showed it: "runner silent" with lost true, and 0.2 s later
    the order to cut, while the head wrote on; 10 and 14 streams were cut in
    two soaks with long streams and one zone out, none once it was told apart
    from a death by having said that it leaves.

    Given 2 domains of 9 runners serve
    When a member of a "large" replica leaves, and 4 s later listens no more
    Then its head is told to let what runs end, before anything is cut

  Scenario: all runners of a data centre pause for less than a second
    They run again while they are looked at for the second time: some answer
    in time, some don't. Those that don't count as lost, the others vouch that
    the data centre can be reached, and groups whose members all live are cut.

    Given 6 domains of 11 runners serve
    When every runner of "zone-1" pauses, and half of them answer the second look
    Then for 6 s no order is given to a runner of "zone-1"
