Feature: What many daemons tell each other stays small and right
  Each daemon places requests by what all others have at a replica. If every
  one told every other one, 82 daemons would exchange 44,000 messages a second
  and spend more processor on them than on their requests.

  Scenario Outline: <count> daemons know of each other's requests
    Given <count> daemons in <places> data centres, each with requests
    When 3000 ms pass
    Then each believes the true number of requests at each replica
    And in 1 s a daemon receives <usual> messages at the median, none over <most>

    Examples:
      | count | places | usual | most |
      | 6     | 3      | 40    | 50   |
      | 12    | 3      | 80    | 100  |
      | 13    | 3      | 15    | 100  |
      | 82    | 3      | 15    | 300  |
      | 100   | 5      | 15    | 300  |

  Scenario: the keeper of a data centre is killed
    The others there hear nothing of anybody else. Each takes the next in rank
    for the keeper within a second, and tells it; until then they go by what
    they knew.

    Given 82 daemons in 3 data centres, each with requests
    When 3000 ms pass
    And a keeper is killed
    And 2500 ms pass
    Then each believes the true number of requests at each replica

  Scenario: the three best keepers of a data centre are killed at once
    Given 82 daemons in 3 data centres, each with requests
    When 3000 ms pass
    And the three daemons that rank highest in place-1 are killed
    And 4000 ms pass
    Then each believes the true number of requests at each replica

  Scenario: a data centre is cut off and comes back
    While the cut lasts, each side knows its own requests only. What the other
    side had before must not count for longer, or its replicas look full.

    Given 82 daemons in 3 data centres, each with requests
    When 3000 ms pass
    And place-1 is cut off
    And 3000 ms pass
    Then in place-1 each believes the requests of place-1 only
    When the cut heals
    And 2500 ms pass
    Then each believes the true number of requests at each replica

  Scenario Outline: news of one reach all of <count>
    Given <count> daemons in <places> data centres, each with requests
    When 3000 ms pass
    And d-5 tells all that a replica stands still
    And 500 ms pass
    Then every other daemon has heard it once

    Examples:
      | count | places |
      | 6     | 3      |
      | 82    | 3      |
      | 66    | 4      |

  Scenario: half of all daemons notice at once that a replica stands still
    Each that notices tells all. Told directly that would be 3,300 messages
    within some ms, in the very moment in which requests have to move.

    Given 82 daemons in 3 data centres, each with requests
    When 3000 ms pass
    And 41 daemons tell all that the same replica stands still
    And 500 ms pass
    Then every daemon has heard it
    And the news took 400 messages at most

  Scenario: a large configuration is packed
    Twelve versions a second of it would fill the keepers' links.

    Given a change of a configuration with 300 routes
    Then it takes 12000 bytes at most and is read as it was

  Scenario Outline: bytes that are <what>
    When bytes come that are <what>
    Then there is no message, and a reason

    Examples:
      | what            |
      | nothing         |
      | another codec's |
      | cut             |
      | no msgpack      |
      | a bomb          |

  Scenario Outline: <message> of the last release is read
    Guards against daemons that go deaf to each other while a release is
    rolled out.

    When <message> of the last release comes
    Then it is read, without what that release did not tell

    Examples:
      | message   |
      | a beat    |
      | a reading |
