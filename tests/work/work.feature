Feature: Callers are served on a stated work
  The real planner and the real placement run on simulated daemons, replicas
  and engines, without network.  Works are files under examples/work.

  Scenario Outline: callers of the small model while <what>
    Pattern: 74 daemons choose among 18 replicas of their data centre by
    counts that are a report old.  Guards against daemons that all send to the
    few replicas that were free at the last report, where requests then wait
    although most slots are free.

    Given the shifted work without losses
    And <what>
    When it is played with seed <seed>
    Then at least 95 in 100 of "stitch-review" are in time

    Examples:
      | what                                       | seed |
      | nothing else happens                       | 1    |
      | data centre 0 is out of service for 9 s    | 1    |
      | data centre 0 is out of service for 9 s    | 2    |

  Scenario: the same seed gives the same run
    Given the work of "kitamura"
    When it is played with seed 3
    And it is played with seed 3 again
    Then both runs are the same

  Scenario Outline: a work that can't be used, <place>
    Guards against a run of something else than was meant.

    Given a file of "shifted" with "<old>" replaced by "<new>"
    Then reading it fails and names "<place>"

    Examples:
      | old                  | new                    | place              |
      | slots: 10            | slot_count: 10         | slot_count         |
      | rate: 222            | rate: -1               | stitch-review.rate |
      | size: 8              | size: 19               | models.m0.size     |
      | worth: 1.9           | worth: 0               | stitch-review.worth |
      | objective: 303       | objective: 7000        | stitch-review.objective |
      | swing: 0.2           | swing: 'much'          | swing              |
