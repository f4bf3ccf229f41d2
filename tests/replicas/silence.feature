Feature: Silence of a runner is no proof of its death
  A runner that only pauses accepts connections, answers nothing, and goes on
  where it was.  What can't be undone waits for proof that a pause does not
  give: a port that is closed or unreachable, or a silence that is longer than
  the time after which the group breaks by itself.

  Scenario Outline: <which> of a "<model>" replica silent for <seconds> s
    Guards against replicas that are dissolved, and streams that are reset,
    while all their runners are alive.

    Given 6 domains of 11 runners serve
    When <which> of the first "<model>" replica pause for <seconds> s
    Then for 6 s no order is sent to its group
    And within 1 s there are 6 replicas of "large" and 6 of "small"

    Examples: pauses
      | which           | model | seconds |
      | the head        | large | 0.7     |
      | the head        | large | 1.0     |
      | the head        | large | 1.3     |
      | the head        | small | 1.3     |
      | the head        | large | 3.0     |
      | a member        | large | 1.0     |
      | a member        | large | 1.3     |
      | a member        | small | 1.3     |
      | a member        | large | 3.0     |
      | all its runners | large | 1.3     |
      | all its runners | small | 3.0     |

  Scenario Outline: all runners of a data centre are silent for <seconds> s and accept connections
    Guards against a pause of a whole data centre that is taken for the death
    of those who resume last.

    Given 6 domains of 11 runners serve
    When every runner of "zone-1" is silent for <seconds> s and all resume within <spread> s
    Then for 6 s no order is sent to a runner of "zone-1"
    And within 1 s there are 6 replicas of "large" and 6 of "small"

    Examples: pauses
      | seconds | spread |
      | 1.0     | 0      |
      | 1.3     | 0.4    |
      | 3.0     | 0.9    |
      | 5.0     | 0.9    |

  Scenario Outline: the replica's head is silent again and again
    Guards against silences that are added up.

    Given 6 domains of 11 runners serve
    When the head of the first "large" replica pauses for <seconds> s, <times> times, <apart> s apart
    Then for 6 s no order is sent to its group

    Examples: repeated
      | seconds | times | apart |
      | 1.3     | 6     | 2.0   |
      | 1.0     | 8     | 1.4   |

  Scenario Outline: <which> accepts connections and never answers again
    Guards against a runner that hangs for ever and keeps its replica from
    being repaired.

    Given 6 domains of 11 runners serve
    When <which> of the first "large" replica is silent for ever
    Then within 6 s <order>

    Examples: hanging
      | which    | order                                       |
      | a member | its head is ordered to cut                  |
      | the head | the other members are ordered to leave      |

  Scenario: a member hangs, and so does the runner that is probed beside it
    Guards against a repair that waits for one runner's answer for ever.

    Given 6 domains of 11 runners serve
    And the runner that is probed first beside it never answers
    When a member of the first "large" replica is silent for ever
    Then within 8 s its head is ordered to cut

  Scenario Outline: probes that fail as <failures>, while others <others>
    Guards against failures that a pause gives, too, and that count as those
    of a dead runner, and against a silence that others share.

    Given a runner that is probed every 400 ms, while others <others>
    When its probes fail as <failures>
    Then it counts as <state>

    Examples: sequences
      | failures                       | others | state |
      | unreached                      | answer | alive |
      | 2 unreached                    | answer | lost  |
      | 2 refused                      | answer | lost  |
      | 2 no report                    | answer | lost  |
      | 9 unreached                    | pause  | alive |
      | unreached, silent, unreached   | answer | alive |
      | refused, silent, refused       | answer | alive |
      | refused, broken, refused       | answer | alive |
      | silent, 9 unreached            | answer | alive |
      | silent, 2 refused              | answer | lost  |
      | 10 silent                      | answer | alive |
      | 11 silent                      | answer | lost  |
      | 10 broken                      | answer | alive |
      | 11 broken                      | answer | lost  |
      | 99 silent                      | pause  | alive |

  Scenario: a member dies beside a replica that pauses
    Guards against a pause that keeps a data centre from being repaired.

    Given 6 domains of 11 runners serve
    When the head of a "small" replica is silent, and a member of a "large" one of its data centre dies
    Then within 1 s its head is ordered to cut

  Scenario: the head of a replica pauses whose member a new leader does not know
    Guards against a pause that a new leader takes for the stall of a head
    whose member is dead.

    Given 6 domains of 11 runners serve
    When the entry of a member of a "large" replica lapses while the member is alive
    And another daemon becomes the leader
    And the head is silent for 1.0 s
    Then for 1 s no order is sent to its group
