Feature: A new leader plans only from a list that it has read itself

  Scenario: a daemon takes the lead with an old list
    Guards against a runner in two groups: the list of a new leader comes from
    its predecessor, which may have formed and opened another group before it
    resigned.

    Given a daemon that has received a list of 6 free runners from the leader
    When it acquires the lease and does not read the list itself for 1 s
    Then it has sent no order

  Scenario: a daemon takes the lead and reads the list
    Guards against a replica that stays closed since a new leader waits for
    ever, or for longer than its own reading of the list takes.

    Given a daemon that follows a list of 6 free runners
    When it acquires the lease
    Then within 0.5 s it has ordered 6 runners to join

  Scenario: a head is reported as stalled while nobody leads
    Guards against streams that stay silent for seconds after the leader was
    lost: a daemon reports a stall once, and nobody repeats it.

    Given a daemon that follows a list of 6 runners of which one is missing from a group that serves
    When another daemon reports that its head is stalled
    And it acquires the lease
    Then within 0.5 s it has ordered the head to cut

  Scenario Outline: a leader without links, and <others> for it
    Guards against replicas that nobody repairs: a leader whose links to all
    upstreams are lost gives orders that don't arrive. Where nobody has links,
    a change of the leader would only cost time.

    Given a daemon that follows a list of 6 free runners
    And it acquires the lease
    When its links are cut for <seconds> s, and <others> for it
    Then it <leads>

    Examples: cuts
      | seconds | others          | leads                                   |
      | 2.5     | others relay    | has resigned, and is the last candidate |
      | 2.5     | nobody relays   | leads                                   |
      | 0.2     | others relay    | leads                                   |

  Scenario: members of a lost head are recorded before they are ordered to leave
    Guards against a runner in two groups: the next leader must know who has
    left the group of a head that may still serve.

    Given a daemon that follows a list of 6 runners of which the head is missing
    When it acquires the lease
    Then the first order to leave is given within 4 s, once all 5 are recorded

  Scenario: members of a lost head cannot be recorded
    Guards against an order to leave that only its own leader knows of.

    Given a daemon that follows a list of 6 runners of which the head is missing
    And it acquires the lease
    When the store takes no writes for 4 s
    Then it has sent no order
    And it has tried to record them 2 to 5 times

  Scenario: a daemon takes the lead when runners have just left a lost head
    Guards against a runner in two groups: these runners look free.

    Given a daemon that follows a list of 6 free runners
    And all of them are recorded as ordered to leave
    When it acquires the lease
    Then for 1 s it sends no order

  Scenario: a daemon takes the lead when runners have left a lost head long ago
    Guards against runners that no leader may use: where the leader changes
    every few seconds, each one would wait anew.

    Given a daemon that follows a list of 6 free runners
    And all of them are recorded as ordered to leave
    And it has followed the list for 5 s
    When it acquires the lease
    Then within 0.5 s it has ordered 6 runners to join

  Scenario: the lease is lost while orders wait for their turn
    Guards against a group that one leader opens after its successor has
    closed it: orders wait while runners don't answer.

    Given a daemon that follows a list of 72 free runners
    And no runner answers orders
    When it acquires the lease
    And it loses the lease while orders wait
    Then no order is sent after that
