Feature: Daemons exchange their request counts with few messages
  Each daemon places requests by the requests of all daemons at a replica. If
  each daemon sent its counts to every other one, 82 daemons would exchange
  44,000 messages a second and spend more CPU on them than on their requests.

  Scenario Outline: <count> daemons know of each other's requests
    Given <count> daemons in <places> data centres, each with requests
    When 3000 ms pass
    Then each daemon counts all requests at each replica
    And in 1 s a daemon receives <usual> messages at the median, none over <most>

    Examples:
      | count | places | usual | most |
      | 6     | 3      | 40    | 50   |
      | 12    | 3      | 80    | 100  |
      | 13    | 3      | 15    | 100  |
      | 82    | 3      | 15    | 300  |
      | 100   | 5      | 15    | 300  |

  Scenario Outline: details of requests reach all of <count> daemons
    Guards against daemons that know only their own part of what teams use,
    or count it twice.

    Given <count> daemons in <places> data centres, each with requests
    And each daemon states 2 requests of team-a
    When 3000 ms pass
    Then each daemon counts those of all other daemons

    Examples:
      | count | places |
      | 6     | 3      |
      | 82    | 3      |

  Scenario: the coordinator of a data centre is killed
    The other daemons there get no counts until each of them reports to the
    next in rank, within a second. Until then they use the last known counts.

    Given 82 daemons in 3 data centres, each with requests
    When 3000 ms pass
    And a coordinator is killed
    And 2500 ms pass
    Then each daemon counts all requests at each replica

  Scenario: the three highest-ranked daemons of a data centre are killed at once
    Given 82 daemons in 3 data centres, each with requests
    When 3000 ms pass
    And the three daemons that rank highest in place-1 are killed
    And 4000 ms pass
    Then each daemon counts all requests at each replica

  Scenario: a data centre is cut off and comes back
    During the cut each side knows only its own requests. If the old counts of
    the other side stayed valid, its replicas would look full.

    Given 82 daemons in 3 data centres, each with requests
    When 3000 ms pass
    And place-1 is cut off
    And 3000 ms pass
    Then in place-1 each daemon counts only the requests of place-1
    When the cut heals
    And 2500 ms pass
    Then each daemon counts all requests at each replica

  Scenario Outline: a broadcast reaches all of <count> daemons
    Given <count> daemons in <places> data centres, each with requests
    When 3000 ms pass
    And d-5 broadcasts that a replica is stalled
    And 500 ms pass
    Then every other daemon receives it once

    Examples:
      | count | places |
      | 6     | 3      |
      | 82    | 3      |
      | 66    | 4      |

  Scenario: half of all daemons detect a stalled replica at once
    Each of them broadcasts it. Sent directly that would be 3,300 messages
    within some ms, just when requests have to move to other replicas.

    Given 82 daemons in 3 data centres, each with requests
    When 3000 ms pass
    And 41 daemons broadcast that the same replica is stalled
    And 500 ms pass
    Then every other daemon receives it
    And the broadcasts take 400 messages at most

  Scenario: a large configuration is packed
    Twelve versions a second of it would fill the coordinators' links.

    Given a change of a configuration with 300 routes
    Then it takes 12000 bytes at most and is decoded unchanged

  Scenario Outline: invalid bytes arrive: <what>
    When bytes arrive that are <what>
    Then decoding returns a reason and no message

    Examples:
      | what            |
      | nothing         |
      | another codec's |
      | cut             |
      | no msgpack      |
      | a bomb          |

  Scenario Outline: <message> of the last release is read
    During a rollout daemons of two releases run. Each must read the messages
    of the other.

    When <message> of the last release arrives
    Then it is decoded, with defaults for the new fields

    Examples:
      | message   |
      | a beat    |
      | a reading |
