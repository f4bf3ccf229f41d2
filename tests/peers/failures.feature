Feature: What peers do when something fails
  Each scenario was seen failing with its safeguard removed.

  Scenario: a keeper that was stopped wakes after it was declared dead
    A keeper is stopped for longer than its death takes, and another member
    takes over its keys.  When it wakes it still takes itself for the keeper;
    if it lent at once, two callers' requests would fell a cold upstream that
    bears one.  It must act only in a new life that its peers know.
    Given 5 members that lend a cold upstream's only slot
    When its keeper is stopped for 20000 ms and wakes
    Then the keeper does not act, and holds no loan
    And within 3000 ms it acts in a new life

  Scenario: a newcomer takes over a keeper's place while loans are out
    A daemon joins and ranks first for the upstream.  The borrower of the
    only slot goes on using it, and the new keeper has never heard of the
    loan.  It must lend only when the last loan of the old one has run out.
    Given 4 members that lend a cold upstream's only slot
    When a newcomer becomes its keeper
    Then the slot is lent again within 25000 ms, and never twice

  Scenario Outline: a cut inside a data centre, <these> against the rest
    Each side buries the other and chooses keepers of its own.  If both lent
    the whole limit, a cold upstream would get twice what it bears.
    Given 4 members that lend a cold upstream's only slot
    And a team's limit of 6 slots
    When <these> are cut off for <span> ms
    Then the cold upstream's slot is lent on one side only
    And the sides lend 6 of the team's slots together

    Examples:
      | these     | span  |
      | d0-0      | 25000 |
      | d0-0,d0-1 | 25000 |
      | d0-0,d0-1 | 95000 |

  Scenario: a member that is cut off from every other
    It hears no keeper.  It may use its fixed share of a team's limit, since
    that limit is there for fairness, and nothing of a cold upstream.
    Given 4 members that lend a cold upstream's only slot
    And a team's limit of 6 slots
    And the upstream bears 8 slots by now
    When d0-3 is cut off for 5000 ms
    Then d0-3 may use its share of the team's slots and none of the upstream

  Scenario: two members restart behind a cut
    They come back with nothing and meet only each other.  Two of four that
    took themselves for all would lend the whole limit a second time.
    Given 4 members that lend a cold upstream's only slot
    And a team's limit of 6 slots
    When d0-0,d0-1 are cut off and restart there
    Then the cold upstream's slot is lent on one side only
    And the sides lend 5 of the team's slots together

  Scenario Outline: a daemon that starts alone, of <expected> expected
    It can't know whether another lends, unless operators say that it is the
    only one; then its callers need not wait 10 s for a cold upstream.
    When a daemon starts alone, of <expected> expected
    Then after 1000 ms it lends itself <slots> slots of a cold upstream

    Examples:
      | expected | slots |
      | 0        | 0     |
      | 1        | 1     |
      | 3        | 0     |

  Scenario: two members are cut off from each other only, for long
    Each buries the other and forgets it after 60 s, while all others see
    both.  When the link is back, what the others tell of them is not
    enough: a life that was buried does not come back by hearsay.
    Given 4 members that lend a cold upstream's only slot
    When d0-2 and d0-3 don't hear of each other for 80000 ms
    Then within 20000 ms of the end they see each other

  Scenario: news of a dead life arrives late
    A member was buried; an old message tells that this life is alive.  If it
    came back by hearsay, work would go to a daemon that is gone.
    Given 3 members that lend a cold upstream's only slot
    When d0-2 is buried and an old record of it arrives at d0-0
    Then d0-0 still holds d0-2 dead

  Scenario: a row of the table is spoilt on its way
    A page arrives with one row changed.  Taken as it is, this daemon would
    follow a table that nobody declared, until the next edit of that row.
    Given a copy of a table of 40 rows at version 40
    When another copy takes it with one row spoilt
    Then the spoilt table is refused, and the whole one is taken next

  Scenario: a newcomer while the platform is down
    Nobody can read the platform; the newcomer needs 2 MB of rows.  It gets
    them page by page from its peers, and shows no version before the last.
    Given 3 members that hold 400 rows of 5000 bytes
    When a fourth member starts
    Then within 20000 ms it holds them all, and never held a part

  Scenario: an edit that a member has not confirmed
    A member is stopped when an edit comes.  The operator must see who keeps
    it from being in force.
    Given 3 members that lend a cold upstream's only slot
    When d0-2 is stopped and an edit comes
    Then 2000 ms later d0-0 names d0-2 as silent

  Scenario: a crash is known in every data centre
    One request took an upstream down; its caller sends it again elsewhere.
    Each daemon must know of the crash before another upstream runs it.
    Given 3 data centres of 3 members with 20% loss
    When one member sees a crash
    Then within 6000 ms every member knows of it

  Scenario: a load travels between clocks that differ
    Monotonic clocks of VMs have different origins.  A report stamped by the
    sender's clock would look hours old, or from the future.
    Given 3 data centres of 3 members with 0% loss
    When one member measures a load
    Then within 6000 ms every member knows it, at its true age to 1000 ms

  Scenario Outline: a message that is <junk>
    Anything may arrive at an open port.  It is dropped and counted.
    When a peer gets a message that is <junk>
    Then it counts one as "<reason>"

    Examples:
      | junk                    | reason                 |
      | empty                   | no envelope            |
      | random bytes            | no envelope            |
      | larger than the limit   | too large              |
      | of another protocol     | other protocol version |
      | gossip with a bad field | bad gossip             |
      | deeply nested           | no envelope            |

  Scenario: a peer that does not read
    It is stopped, or slow; its connection stays open.  No task may wait for
    it, and what is queued for it must not grow.
    When 2000 messages are sent to a peer that does not read
    Then sending them took less than 2 s, and most were dropped and counted

  Scenario Outline: a peer <key>
    It knows the addresses, and it speaks the protocol.  It must not learn
    or change anything.
    Given two peers with the fleet's keys and a third <key>
    When they run until the two have met, and 3 s more
    Then the third has received nothing, and nobody knows it

    Examples:
      | key                   |
      | without any keys      |
      | with keys of its own  |
      | with the public key   |
