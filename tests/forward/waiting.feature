Feature: A silence is the upstream's only while the daemon itself runs
  A daemon that stands still reads nothing, and its clock goes on.

  Scenario Outline: a daemon stands still for <pause> s while <what>
    What the replica wrote meanwhile lies in the daemon's socket, but timers
    that fell due are served first: each stream looks silent for the whole
    pause, is given up, and begins anew elsewhere or ends. Six daemons stopped
    for 0.5 s logged "upstream stands still" for replicas that wrote on, and
    28 streams were cut.

    Given a try at a replica, and another replica that has room
    When the daemon stands still for <pause> s while <what>
    Then the try has its part, and no replica stands still
    And the daemon tells of its pause

    Examples:
      | pause | what                               |
      | 0.5   | it waits for the first event       |
      | 0.5   | it waits for the next event        |
      | 5     | it waits for the next event        |

  Scenario: a daemon runs while nothing comes
    The same wait without a pause: here the replica is the silent one, and the
    caller is better off elsewhere.

    Given a try at a replica, and another replica that has room
    When nothing comes for 0.6 s while it waits for the next event
    Then the try is given up, and the replica stands still
