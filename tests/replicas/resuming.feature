Feature: Silence that is over is no reason for what can't be undone

  Scenario Outline: a head that counted as lost goes on after <seconds> s
    Guards against members that join another group while their old head is
    open and not yet broken, and against requests for a head without members.

    Given 6 domains of 11 runners serve
    When the first "large" head is <how> for <seconds> s and goes on
    Then within 3 s its head is ordered to cut
    And for 8 s no runner joins another group while its head serves

    Examples:
      | how         | seconds |
      | paused      | 4.6     |
      | paused      | 6.0     |
      | unreachable | 1.0     |
      | unreachable | 1.5     |

  Scenario Outline: a head pauses for <seconds> s and answers a probe that was sent meanwhile
    Guards against a pause that a new leader takes for the stall of a head
    whose member is dead.

    Given 6 domains of 11 runners serve, and probes take up to 350 ms
    When a member's entry lapses, a new leader begins and the head pauses for <seconds> s
    Then within 1 s its head is not ordered to cut

    Examples:
      | seconds |
      | 0.5     |
      | 0.7     |

  Scenario Outline: a member hangs while one probe in <every> of the others is lost
    Guards against a hung runner whose repair waits for an unbroken row of
    answers of others.

    Given 6 domains of 11 runners serve
    And one probe in <every> of others is lost, by seed <seed>
    When a member of the first "large" replica is silent for ever
    Then within 8 s its head is ordered to cut

    Examples:
      | every | seed |
      | 20    | 1    |
      | 10    | 1    |
      | 5     | 2    |
