Feature: A data centre's excess goes where callers lose least
  Three data centres a, b and c of 12 replicas with 10 slots each; the daemon
  is one of 12 in a.

  Scenario Outline: a request while <what>
    Pattern: requests in a, b and c in hundredths of their slots, reports 300
    ms old.
    Guards against <guard>.

    Given <a>, <b> and <c> in 100 slots of a, b and c are taken
    And <what>
    When 400 requests are chosen for
    Then the excess goes to <used>

    Examples:
      | what                          | a   | b   | c   | used    | guard |
      | nothing else happens          | 70  | 40  | 40  | nowhere | traffic without a need |
      | there is less room elsewhere  | 90  | 90  | 90  | nowhere | data centres that send each other the same |
      | two have room                 | 100 | 60  | 60  | b c     | callers that are late beside free slots |
      | b is full                     | 100 | 100 | 60  | c       | excess that meets a queue |
      | all are full                  | 100 | 100 | 100 | nowhere | traffic that gains nothing |
      | b is evacuated                | 100 | 60  | 60  | c       | requests to a data centre out of service |
      | b is cut off                  | 100 | 60  | 60  | c       | tries at upstreams that can't be reached |
      | the link to b takes 120 ms    | 100 | 60  | 60  | c       | a way that takes the time to be in time |
      | the reports have stopped      | 100 | 60  | 60  | nowhere | counts that are no longer true |
      | a is evacuated                | 100 | 60  | 60  | b c     | callers of an evacuated data centre that fill one other |

  Scenario: a data centre comes back cold
    Guards against a rush of all others to the replicas that are seen free.

    Given 100, 70 and 60 in 100 slots of a, b and c are taken
    And b was evacuated and comes back empty
    When requests are chosen for during 4 s
    Then b gets less than 0.2 of the excess in the first 0.5 s
    And b gets more than 0.5 of the excess in the last 0.5 s

  Scenario: an excess that lasts
    Pattern: a is asked for 1.3 of its room in even intervals and b for 0.4;
    all daemons choose by reports 300 ms old, and answers take 0.3 to 1.7 s.
    Guards against daemons that all turn to another data centre at once, and
    back as its load is reported.

    Given 12 daemons of a that are asked for 1.3 of its room
    When they choose for 12 s
    Then from second 4 on the part that leaves in 0.5 s deviates by 0.1
    And the slots of a stay at least 0.8 used

  Scenario: a choice among 1,164 replicas
    Pattern: 12,000 runners, 1,600 daemons; a is full and the others are not.
    Guards against a choice that grows with the site.

    Given 388 replicas in each data centre, with 99, 70 and 70 in 100 slots taken
    When 3000 requests are chosen for, 20 in a ms
    Then a choice takes 150 us at most
