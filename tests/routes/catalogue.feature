Feature: Requests are matched to the declared routes
  Routes overlap, are split between services and change. A request that is
  matched to the wrong route is sent to a service that no operator chose.

  Scenario Outline: <path> of <host>
    Given routes for /a/, /a/b/ and /c/ of h.example and /a/ of g.example
    When a request for <path> of <host> arrives
    Then its route is <route>

    Examples:
      | host      | path       | route  |
      | h.example | /a/x       | h-a    |
      | h.example | /a/b/x     | h-ab   |
      | h.example | /a/b/      | h-ab   |
      | h.example | /a/b       | h-a    |
      | h.example | /a/bc/x    | h-a    |
      | h.example | /c/        | h-c    |
      | h.example | /c         | none   |
      | h.example | /          | none   |
      | h.example | a/x        | none   |
      | g.example | /a/b/x     | g-a    |
      | k.example | /a/x       | none   |

  Scenario: a late version does not replace a newer one
    Given a directory with version 7 that has a key
    When version 5 without the key arrives
    Then version 7 is in force, with the key

  Scenario: a split follows the weights, and weight 0 gets no request
    Given a route split 90 to 10 to 0
    When 2000 requests are sent
    Then the shares are within 3 in 100 of 90, 10 and 0

  Scenario: an unknown path is not final while the catalogue is outdated
    The daemon has not read the configuration for long. A 404 would be wrong
    for a route or key that was added meanwhile.

    Given an intake whose catalogue was confirmed 10 s ago
    When a request for an unknown path arrives
    Then it is refused with 503 and a time to retry after
    When its catalogue is confirmed and the request arrives again
    Then it is refused with 404
