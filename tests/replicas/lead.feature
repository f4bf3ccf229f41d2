Feature: One daemon leads, and who leads is not in doubt for long
  The leader plans the groups and reads the platform for all. Two that lead at
  once are kept apart by their epochs; but each second without one is a second
  in which no replica is repaired.

  Scenario: the leader dies
    Given daemons a, b, c, of which a leads
    When a stops without a word
    Then within 5 s another leads, by a higher lease

  Scenario: the leader is killed and starts again
    Its row is its own of before; to wait for it to lapse would leave the fleet
    with nobody for two seconds.

    Given daemons a, b, c, of which a leads
    When a is killed and starts again after 1 s
    Then a leads within 1 s, by a higher lease

  Scenario: the leader leaves in order
    Given daemons a, b, c, of which a leads
    When a resigns
    Then within 2 s another leads, by a higher lease

  Scenario: the answer to a renewal is lost
    The write has taken effect. A leader that gave up would leave the fleet
    with nobody; one that renewed by the old version would see a conflict.

    Given daemons a, b, c, of which a leads
    When the answer to a's next renewal is lost
    Then a still leads after 3 s

  Scenario: the store is away for all
    Nobody can take the lead; the leader goes on planning from what it knows
    yet vouches for nothing that it could not read.

    Given daemons a, b, c, of which a leads
    When the store is away for 6 s
    Then a holds the lease all the while, but does not speak as the leader
    And a speaks as the leader within 2 s of the store's return

  Scenario: the store turns only the leader away
    Given daemons a, b, c, of which a leads
    When the store turns a away
    Then within 6 s another leads, by a higher lease
    And when a hears of it, it leads no more

  Scenario: the leader is cut off from the store and from the others
    Another takes the lead and closes what stands still. Once the cut heals the
    old one must not open it again before it has learnt of that.

    Given daemons a, b, c, of which a leads
    When a is cut off from the store and from the others for 6 s
    Then a gives no order from 3 s after the cut on
    And once the store can be reached again a gives none before it has renewed

  Scenario: a leader that is heard is not looked for in the store
    Each look is paid for.

    Given daemons a, b, c, of which a leads
    When b hears a twice a second for 6 s
    Then b has read the store once at most

  Scenario: a daemon that started before others hears of more than it knows
    At the start daemons register one after the other. One that knows only a
    few ranks others than the rest does, and reports to a keeper that hears
    nothing; it would find out only with the next list, ten seconds later.

    Given daemons a, b, c, of which a leads
    When b hears a say that it knows 5 daemons, three times
    Then b has read the store once at most
    And b has read the store once at least
