Feature: What callers see when something fails
  Upstreams turn slow, die, come back cold or leave with their data centre
  while callers go on sending.

  Scenario: one upstream turns ten times slower
    Its answers come too late for callers.  The daemons see answers overdue,
    eject it, and the others carry its share; only what was already there
    is late.

    When callers bring "one upstream 10x slow" to the dispatcher
    Then at least 0.98 of the requests are answered whole and on time
    And at most 0.01 of the accepted requests finish late
    And upstream "a0" gets less than 0.02 of the work from second 20 on

  Scenario: a data centre leaves and returns under load
    Operators take it out at second 10 and back in at 30, its engines cold.
    Were work sent before they are warm, they would fall over one by one.

    When callers bring "data centre leaves and returns" to the dispatcher
    Then at least 0.96 of the requests are answered whole and on time
    And data centre "a" gets nothing new from second 12.1 to 30
    And data centre "a" gets work again from second 31 to 60
    And no upstream fell over

  Scenario: a request that crashes each upstream is sent ten times
    Its caller sends it again after each crash.  Two different upstreams are
    lost, then it is refused in every data centre; the callers whose work
    was beside it are answered by others.

    When callers bring "killer sent ten times" to the dispatcher
    Then at least 0.98 of the other requests are answered whole and on time
    And the killer ran on at most 2 upstreams
    And its last 8 sendings were refused as "fenced-off"
    And no upstream that came back held more than it could bear

  Scenario: an upstream falls back into a cold start without warning
    All that ran there is lost, and its last report still shows it warm and
    free.  The daemons that lost work there tell the others, and it gets no
    more than its keeper lends.

    When callers bring "upstream falls back cold" to the dispatcher
    Then at least 0.98 of the requests are answered whole and on time
    And no upstream fell over

  Scenario Outline: a failed attempt at <kind> work that <ended>
    Given one upstream and <kind> work in progress
    When the attempt ends as "<ended>"
    Then the caller <sees>

    Examples:
      | kind       | ended    | sees                            |
      | repeatable | not-run  | is served by another attempt    |
      | repeatable | broken   | is served by another attempt    |
      | one-time   | not-run  | is served by another attempt    |
      | one-time   | busy     | is served by another attempt    |
      | one-time   | broken   | is told that it may have run    |
      | one-time   | silent   | is told that it may have run    |
      | one-time   | crashed  | is told that it may have run    |

  Scenario Outline: an upstream that must not get work
    Given one upstream that <reason>
    When a caller sends a request
    Then it is refused at once as "no-upstream", naming "<named>"

    Examples:
      | reason                      | named                            |
      | has not reported            | it has not reported yet          |
      | has not reported for 6 s    | it has not reported lately       |
      | lacks a VM                  | a VM of its group is missing     |
      | is out                      | it is out of service             |
      | is in a data centre out     | its data centre is out           |
      | started afresh, without loan | no slots of it are lent         |
      | died, as a peer told         | no slots of it are lent         |

  Scenario: work that waits is given up at the latest at its deadline
    Given one upstream with all slots taken for ever
    When a caller's queued work reaches the time at which it can't finish
    Then it is refused at that tick, and not run

  Scenario: retries stay within their share when everything fails
    Given one upstream whose every attempt is never sent
    When 500 callers send a request each within a second
    Then at most 62 retries are started

  Scenario: any order of events keeps the promises
    When the dispatcher's state machine runs
    Then each of its promises was looked at
