Feature: Placement of requests by predicted latency
  Replicas of 13 slots, which slow down as they fill, serve six daemons that
  know their own requests immediately and those of the others from messages
  and answers.  The capacity of one replica of the small model is about 11
  requests/s of 31 events (13 slots, each taken for 1.2 s, as calculated from
  its engine's figures), and that of six replicas is 65 requests/s.

  Scenario Outline: <load>
    When callers send "<load>"
    Then the mean worth of the requests is at least <worth>
    And at least <on_time> of the requests get their first event in time
    And at most <refused> of them are refused

    Examples:
      | load                               | worth | on_time | refused |
      | 44 a second on six replicas        | 0.99  | 0.99    | 0.00    |
      | 44 a second, one replica 4x slow   | 0.97  | 0.97    | 0.00    |
      | 44 a second on four replicas       | 0.60  | 0.50    | 0.02    |
      | a burst of 1.7x for 3 s            | 0.80  | 0.75    | 0.02    |
      | 66 a second on three replicas      | 0.33  | 0.25    | 0.50    |

  Scenario: loads reported by replicas alone make most requests late
    A replica's report comes with an answer and is a second old, so that each
    daemon assumes slots to be free that the others have taken.  Guards
    against daemons that do not use each other's messages.

    When callers send "44 a second on four replicas"
    And callers send it to daemons that do not broadcast their loads
    Then the broadcasting daemons have at least 0.05 more in time

  Scenario: near saturation daemons broadcast their loads more often
    A replica gets a request about every 25 ms.  Loads that are 150 ms old
    miss up to six requests, which is more than may be ahead of a request
    that is to be in time.

    When callers send "44 a second on four replicas"
    And callers send it to daemons that broadcast their loads every 50 ms
    Then the shorter interval has at least 0.06 more in time

  Scenario: a request that was refused once is rarely refused again
    A caller retries once.  A second rejection would waste the time that it
    has spent, so that a retried request may wait longer for a slot.

    When callers send "66 a second on three replicas"
    And callers send it to daemons with equal patience for retried requests
    Then the share that is refused twice is lower by at least 0.04

  Scenario: placement by load is better for callers than random placement
    Random placement fills one replica while another is idle, and rejects no
    request.

    When callers send "44 a second, one replica 4x slow"
    And callers send it to daemons that place at random
    Then placement by load has at least 0.10 more in time

  Scenario Outline: a request of <size> tokens, where a replica holds <memory>
    Guards against a caller that waits for a replica which none can be, and
    against refusals where no memory is declared.

    When a request of <size> tokens is placed on idle replicas that hold <memory>
    Then it <ends>

    Examples:
      | size    | memory  | ends                                            |
      | 1235000 | 1235000 | is sent to a replica                            |
      | 1235001 | 1235000 | is refused at once, with both numbers as reason |
      | 1235001 | 0       | is sent to a replica                            |
