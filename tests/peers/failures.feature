Feature: Failures among peers
  Each scenario fails when the safeguard that it tests is removed.

  Scenario: a lender that was stopped resumes after it was marked dead
    A lender is stopped until it is marked dead, and another member takes over
    its keys.  When it resumes it still considers itself the lender.  If it
    lent at once, two requests would crash a cold upstream with a capacity of
    one.  It may act only in a new incarnation that its peers know.
    Given 5 members that lend a cold upstream's only slot
    When its lender is stopped for 20000 ms and resumed
    Then the lender does not act, and holds no loan
    And within 3000 ms it acts in a new incarnation

  Scenario Outline: a member that was stopped for <span> ms keeps its place
    Guards against a pause that is taken for a death, at any phase of the
    heartbeats and of the loans: another member would take over its keys, and
    the cold upstream's slot would lapse.
    Given 5 members that lend a cold upstream's only slot
    When each member is stopped for <span> ms in turn, eight times
    Then no member was ever marked dead, and the slot was always lent

    Examples:
      | span |
      | 1000 |
      | 1300 |

  Scenario: a new member becomes the lender while slots are lent
    A daemon joins and ranks first for the upstream.  The borrower of the
    only slot still uses it, and the new lender doesn't know the loan.  It may
    lend only after the last loan of the previous lender has expired.
    Given 4 members that lend a cold upstream's only slot
    When a new member becomes its lender
    Then the slot is lent again within 25000 ms, and never twice

  Scenario Outline: a partition of a data centre, <these> against the rest
    Each side marks the other dead and chooses lenders of its own.  If both
    lent the whole limit, a cold upstream would get twice its capacity.
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

  Scenario: a member that is cut off from all others
    It reaches no lender.  It may use its fixed share of a team's limit, since
    that limit is for fairness, and no slot of a cold upstream.
    Given 4 members that lend a cold upstream's only slot
    And a team's limit of 6 slots
    And the upstream's limit is raised to 8 slots
    When d0-3 is cut off for 5000 ms
    Then d0-3 may use its share of the team's slots and none of the upstream

  Scenario: two members restart while they are cut off
    They restart without any state and find only each other.  If two of four
    considered themselves the whole data centre, they would lend the whole
    limit a second time.
    Given 4 members that lend a cold upstream's only slot
    And a team's limit of 6 slots
    When d0-0,d0-1 are cut off and restart there
    Then the cold upstream's slot is lent on one side only
    And the sides lend 5 of the team's slots together

  Scenario Outline: a daemon that starts alone, of <expected> expected
    It can't know whether another daemon lends, unless it is configured as the
    only one.  Then callers don't wait 10 s for a cold upstream.
    When a daemon starts alone, of <expected> expected
    Then after 1000 ms it lends itself <slots> slots of a cold upstream

    Examples:
      | expected | slots |
      | 0        | 0     |
      | 1        | 1     |
      | 3        | 0     |

  Scenario: only the link between two members fails, for long
    Each marks the other dead and forgets it after 60 s, while all others
    reach both.  When the link is back, records from the others don't revive
    a dead incarnation, so the two have to contact each other.
    Given 4 members that lend a cold upstream's only slot
    When d0-2 and d0-3 are cut off from each other for 80000 ms
    Then within 20000 ms they see each other again

  Scenario: a record of a dead incarnation arrives late
    A member is marked dead, and an old message says that its incarnation is
    alive.  If that revived it, requests would go to a lost daemon.
    Given 3 members that lend a cold upstream's only slot
    When d0-2 is marked dead and an old record of it arrives at d0-0
    Then d0-2 is still dead to d0-0

  Scenario: a row of the table is corrupted in transit
    A page arrives with one row changed.  If it were applied, this daemon would
    use a table that was never declared, until the next edit of that row.
    Given a copy of a table of 40 rows at version 40
    When another copy gets it with one row corrupted
    Then the corrupted table is refused, and the full one is applied next

  Scenario: a member joins while the platform is down
    No daemon can read the platform, and the new member needs 2 MB of rows.  It
    gets them by pages from its peers, and must not use an incomplete table.
    Given 3 members that hold 400 rows of 5000 bytes
    When a fourth member starts
    Then within 20000 ms it holds all rows, and never only some

  Scenario: an edit that a member has not confirmed
    A member is stopped when an edit arrives.  The operator must see which
    member has not confirmed it.
    Given 3 members that lend a cold upstream's only slot
    When d0-2 is stopped and an edit arrives
    Then 2000 ms later d0-0 names d0-2 as silent

  Scenario: a crash is known in every data centre
    A request crashes an upstream, and its caller sends it to another data
    centre.  Each daemon must know of the crash, or more upstreams crash.
    Given 3 data centres of 3 members with 20% loss
    When one member reports a crash
    Then within 6000 ms every member knows of it

  Scenario: a load is sent between clocks that differ
    Monotonic clocks of VMs have different origins.  A report with the time of
    the sender's clock would seem hours old, or from the future.
    Given 3 data centres of 3 members with 0% loss
    When one member measures a load
    Then within 6000 ms every member knows it, with its age to 1000 ms

  Scenario Outline: a message that is <junk>
    Any bytes may arrive at an open port.  Invalid ones are dropped and counted.
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
    The peer is stopped or slow, and its connection stays open.  No task may
    wait for it, and its send queue must not grow.
    When 2000 messages are sent to a peer that does not read
    Then sending them took less than 2 s, and most were dropped and counted

  Scenario Outline: a third peer <key>
    It knows the addresses and the protocol.  It must not receive or change
    anything.
    Given two peers with the fleet's keys and a third <key>
    When they run until the first two have met, and 3 s longer
    Then the third has received nothing, and the others don't know it

    Examples:
      | key                   |
      | without any keys      |
      | with keys of its own  |
      | with the public key   |
