Feature: Pauses of a daemon do not count as silence of its upstreams
  A paused daemon reads nothing, while its clock advances.

  Scenario Outline: a daemon pauses for <pause> s while <what>
    Guards against giving up working replicas. What a replica sends in the
    pause is unread in the socket, but due timers are served first: each
    stream seems silent for the whole pause, is given up, and is resumed
    elsewhere or ends. Six daemons paused for 0.5 s logged "upstream stands
    still" for replicas that were sending, and 28 streams were cut.

    Given an attempt at a replica, and another replica with a free slot
    When the daemon pauses for <pause> s while <what>
    Then the attempt has its part, and no replica is stalled
    And the daemon logs its pause

    Examples:
      | pause | what                               |
      | 0.5   | it waits for the first event       |
      | 0.5   | it waits for the next event        |
      | 5     | it waits for the next event        |

  Scenario: a daemon runs while nothing arrives
    The same wait without a pause: the replica itself is silent, and the
    request is better sent to another one.

    Given an attempt at a replica, and another replica with a free slot
    When nothing arrives for 0.6 s while it waits for the next event
    Then the attempt is given up, and the replica is stalled
