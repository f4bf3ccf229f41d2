Feature: A VM that is silent for a while keeps its place in its group
  A replaced VM loses its weights, and its group its answers in progress.
  A pause of the VM, or of the daemon that reads it back, must not look like
  the loss of the VM.

  Scenario Outline: <who> silent for <silence> ms, the daemon for <pause> ms
    Guards against replacing a VM that missed one read-back: after a pause of
    the daemon, the time since the last answer was taken for a second miss.
    Given domains "a" of 5 VMs each, and serving groups of 4 VMs: 1
    When <who> of the group is silent for <silence> ms, at any phase of a poll
    And the daemon pauses for <pause> ms, at any time before or after
    Then the group's row and the fences of its VMs never change

    Examples:
      | who     | silence | pause |
      | rank 0  | 1000    | 0     |
      | rank 0  | 1300    | 0     |
      | rank 1  | 1000    | 0     |
      | rank 1  | 1300    | 0     |
      | rank 1  | 1490    | 0     |
      | each VM | 1300    | 0     |
      | rank 1  | 500     | 1000  |
      | rank 1  | 1000    | 700   |
      | rank 1  | 1000    | 1000  |
      | rank 1  | 1000    | 1300  |
      | rank 1  | 1300    | 1300  |
      | each VM | 1000    | 1000  |
      | each VM | 1300    | 1300  |

  Scenario Outline: a read-back whose connection fails: <how>
    Guards against replacing sound VMs because this daemon can't connect:
    each error but a timeout was taken for a refused connection, which shows
    that no engine runs.
    When a connection to a VM fails once with <how>
    Then the VM counts as <state>

    Examples:
      | how                       | state   |
      | connection refused        | lost    |
      | no route to host          | present |
      | network unreachable       | present |
      | too many open files       | present |
      | no local port             | present |
      | name not resolved         | present |
      | name not resolved in time | present |
      | no answer in time         | present |

  Scenario Outline: two read-backs time out, noticed <late> ms late
    Guards against replacing a VM whose answers this daemon did not read: a
    daemon that pauses while it waits finds its own timeout over, and the
    answer unread.
    When two read-backs of a VM in a row time out, noticed <late> ms late
    Then the VM counts as <state>

    Examples:
      | late | state   |
      | 0    | lost    |
      | 100  | lost    |
      | 200  | present |
      | 1300 | present |
