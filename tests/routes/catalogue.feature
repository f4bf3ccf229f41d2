Feature: Which request goes where, and for whom
  Routes overlap, are split and change; a request that is taken to the wrong
  one runs where no operator ever sent it.

  Scenario Outline: <path> of <host>
    Given routes for /a/, /a/b/ and /c/ of h.example and /a/ of g.example
    When a request for <path> of <host> comes
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

  Scenario: a version that came late does not undo a newer one
    Given a directory that holds version 7 with a key
    When version 5 without the key arrives
    Then version 7 is in force, with the key

  Scenario: a split sends by weight, and nothing to a weight of none
    Given a route split 90 to 10 to 0
    When 2000 requests are sent
    Then the shares are within 3 in 100 of 90, 10 and 0

  Scenario: a daemon that could not read for long does not say "there is none"
    A route or key that was added meanwhile would be refused for good.

    Given an intake whose catalogue was confirmed 10 s ago
    When a request for an unknown path comes
    Then it is refused with 503 and told when to come back
    When its catalogue is confirmed and the request comes again
    Then it is refused with 404
