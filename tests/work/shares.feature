Feature: Each daemon prefers a share of the replicas
  Many daemons choose by old counts of each other's requests.

  Scenario Outline: <daemons> daemons share <replicas> replicas
    Guards against replicas that no daemon prefers, or that several count on.

    Given <replicas> replicas shared by <daemons> daemons
    Then the shares cover each replica once
    And <cut> replicas belong to several daemons

    Examples:
      | daemons | replicas | cut |
      | 1       | 5        | 0   |
      | 3       | 9        | 0   |
      | 12      | 27       | 0   |
      | 20      | 18       | 18  |
      | 12      | 2        | 2   |
      | 3       | 0        | 0   |

  Scenario Outline: a request while <what>
    Pattern: 4 replicas of 10 slots, 2 daemons, 4 requests at a time; a and b
    are the daemon's share.
    Guards against <guard>.

    Given the loads <a>, <b>, <c> and <d> of other daemons
    And <what>
    When 40 requests are chosen for
    Then they go to <used>

    Examples:
      | what                      | a  | b  | c  | d  | used  | guard |
      | nothing else happens      | 2  | 2  | 2  | 2  | a b   | daemons that all choose what was free |
      | replica a is avoided      | 2  | 2  | 2  | 2  | b     | requests to a replica that stands still |
      | its share is full         | 10 | 10 | 2  | 2  | c d   | a queue at the own share |
      | one replica is free       | 10 | 10 | 10 | 2  | d     | a queue beside a free replica |
      | the reports have stopped  | 10 | 10 | 2  | 2  | a b   | counts that are no longer true |
      | all replicas are full     | 10 | 10 | 10 | 10 | a b c d | a queue at one replica only |

  Scenario: many replicas of which one has room
    Guards against a refusal since the replicas that were looked at are full.

    Given 500 replicas of which all but one are far beyond their slots
    When 40 requests are chosen for
    Then none is refused
