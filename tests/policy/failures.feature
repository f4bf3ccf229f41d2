Feature: Service quality during failures
  Upstreams become slow, crash, restart cold or are taken out of service with
  their data centre while callers continue to send requests.

  Scenario: one upstream becomes ten times slower
    Guards against an upstream whose requests all miss their deadlines.  The
    daemons detect overdue attempts and eject it, so that only the requests
    already there are late.

    When callers send the load "one upstream 10x slow" to the dispatcher
    Then at least 0.98 of the requests are answered completely and on time
    And at most 0.01 of the accepted requests finish late
    And upstream "a0" gets less than 0.02 of the requests from second 20 on

  Scenario: a data centre leaves and returns under load
    Operators take it out of service at second 10 and return it at second 30
    with cold engines.  Guards against full load on cold engines, which would
    crash one after the other.

    When callers send the load "data centre leaves and returns" to the dispatcher
    Then at least 0.96 of the requests are answered completely and on time
    And data centre "a" gets no new requests from second 12.1 to 30
    And data centre "a" gets requests again from second 31 to 60
    And no upstream crashed

  Scenario: a request that crashes each upstream is sent ten times
    Guards against a request that its caller sends again after each crash.
    After the loss of two different upstreams it is rejected in every data
    centre; the other requests on the lost upstreams are retried elsewhere.

    When callers send the load "killer sent ten times" to the dispatcher
    Then at least 0.98 of the other requests are answered completely and on time
    And the crashing request ran on at most 2 upstreams
    And its last 8 submissions were refused as "fenced-off"
    And no restarted upstream exceeded its capacity

  Scenario: prompts with one beginning crash each upstream
    Guards against upstreams that crash one after the other as requests have
    the beginning of their prompts in common, and nothing else.

    When callers send the load "killers with one beginning" to the dispatcher
    Then the crashing request ran on at most 8 upstreams
    And at least 0.95 of the other requests are answered completely and on time

  Scenario: an upstream restarts cold without a report
    All requests on it are lost, while its last report shows it as warm with
    free slots.  Guards against daemons that overload it: those that lost
    requests inform the others, so that it gets no more than its coordinator
    lends.

    When callers send the load "upstream falls back cold" to the dispatcher
    Then at least 0.98 of the requests are answered completely and on time
    And no upstream crashed

  Scenario Outline: an attempt at a <kind> request that ended as <ended>
    Given one upstream with a <kind> request in progress
    When the attempt ends as "<ended>"
    Then the caller <sees>

    Examples:
      | kind       | ended      | sees                            |
      | repeatable | not-run    | is served by another attempt    |
      | repeatable | not-opened | is served by another attempt    |
      | repeatable | broken     | is served by another attempt    |
      | one-time   | not-run    | is served by another attempt    |
      | one-time   | not-opened | is served by another attempt    |
      | one-time   | busy       | is served by another attempt    |
      | one-time   | broken     | is told that it may have run    |
      | one-time   | silent     | is told that it may have run    |
      | one-time   | crashed    | is told that it may have run    |

  Scenario Outline: attempts at <failing> of 2 upstreams end as <ended>
    Guards against a model out of service because its upstreams were silent
    for a moment, and against requests to one that is lost while another
    one answers.
    Given 2 upstreams
    When 12 attempts at <failing> of them end as "<ended>"
    Then <left> of them are in service

    Examples:
      | failing | ended      | left |
      | 1       | not-run    | 1    |
      | 2       | not-run    | 0    |
      | 1       | not-opened | 1    |
      | 2       | not-opened | 1    |

  Scenario Outline: an upstream that must not get requests
    Given one upstream that <reason>
    When a caller sends a request
    Then it is refused at once as "no-upstream" with "<named>" in its detail

    Examples:
      | reason                      | named                            |
      | has not reported            | it has not reported yet          |
      | has not reported for 6 s    | it has not reported lately       |
      | lacks a VM                  | a VM of its group is missing     |
      | is out                      | it is out of service             |
      | is in a data centre out     | its data centre is out           |
      | restarted, without a loan   | no slots of it are lent          |
      | died, as a peer reported    | no slots of it are lent          |

  Scenario: a queued request is refused at the latest at its deadline
    Given one upstream with all slots taken permanently
    When a queued request can no longer finish by its deadline
    Then it is refused by its deadline without being run

  Scenario: retries stay within their budget when every attempt fails
    Given 9 upstreams that reject every attempt as full
    When 500 requests are sent within a second
    Then at most 62 retries are started

  Scenario: any order of events keeps the invariants
    When the dispatcher's state machine runs
    Then each of its invariants was checked
