Feature: All daemons have the store's rows within seconds of a change
  A daemon sends requests by its copy of the table. An upstream that has left
  may keep answering for many seconds, so nothing else corrects a wrong copy.

  Scenario: a full read of the leader hides a deletion from the followers
    Guards against requests to an upstream that left seconds ago.

    Given daemons a, b, c with the rows of the store and a as the leader
    When a row is deleted and the history discarded before any daemon reads it
    Then within 2 s all daemons have the rows of the store

  Scenario Outline: a full read hides a deletion in the table <table>
    Guards against an upstream that stays in use, or a data centre that stays
    out of service, after the store said otherwise.

    Given daemons a, b, c that follow <table>, with a as the leader
    When a row is deleted and the history discarded before any daemon reads it
    Then within 2 s all daemons have the rows of the store

    Examples:
      | table       |
      | upstreams   |
      | evacuations |

  Scenario: the update of the leader's full read is lost on the way to a daemon
    Guards against a lost message that leaves a deleted row at a daemon.

    Given daemons a, b, c with the rows of the store and a as the leader
    When a row is deleted and the history discarded before any daemon reads it
    And messages from a do not reach c for 100 ms
    Then within 2 s all daemons have the rows of the store

  Scenario Outline: a false update <change> reaches <who>
    Guards against a wrong row, of any cause, that is never corrected.

    Given daemons a, b, c with the rows of the store and a as the leader
    When an update <change> reaches <who>
    Then within 2 s all daemons have the rows of the store

    Examples:
      | who     | change                           |
      | b       | with a row that never existed    |
      | b       | without a row that exists        |
      | a       | with a row that never existed    |
      | a       | without a row that exists        |
      | a, b, c | with a row that never existed    |
      | a, b, c | without a row that exists        |

  Scenario Outline: a false update <change> reaches an isolated daemon
    Guards against a wrong row that only other daemons would correct.

    Given daemons a, b, c with the rows of the store and a as the leader
    And c is isolated from the other daemons
    When an update <change> reaches c
    Then within 2 s all daemons have the rows of the store

    Examples:
      | change                        |
      | with a row that never existed |
      | without a row that exists     |

  Scenario: a daemon with a wrong row becomes the leader
    Guards against a new leader that spreads the wrong rows it had before.

    Given daemons a, b, c with the rows of the store and a as the leader
    When an update with a row that never existed reaches c
    And c becomes the leader in place of a
    Then within 2 s all daemons have the rows of the store

  Scenario: the store rejects the calls of a daemon whose history is gone
    Guards against a daemon that applies no update until the store serves it.

    Given daemons a, b, c with the rows of the store and a as the leader
    When c's history is discarded and the store rejects its calls
    And a row is deleted
    Then within 2 s all daemons have the rows of the store

  Scenario: an old whole reading arrives after a newer update
    Guards against a deleted row that a delayed response brings back.

    Given daemons a, b, c with the rows of the store and a as the leader
    When c reads all rows and the response takes 300 ms
    And a row is deleted
    Then once c has deleted that row it never has it again

  Scenario: messages to a daemon take longer and longer
    Guards against old states that look recent because of a growing queue.

    Given daemons a, b, c with the rows of the store and a as the leader
    When messages to c take 5000 ms longer than before
    And a row is deleted
    Then within 2 s all daemons have the rows of the store

  Scenario: changes of other tables raise the counter before a deletion
    Guards against a call of every daemon for each change of the table.

    Given daemons a, b, c with the rows of the store and a as the leader
    When the counter rises and a has a higher revision than b
    And a row is deleted
    Then within 100 ms all daemons have the rows of the store, without a call of b

  Scenario: a deletion ends the leader's waiting call early
    Guards against a state dated in the future, which keeps others from reading
    the store themselves once the leader can no longer read it.

    Given daemons a, b, c with the rows of the store and a as the leader
    When a row is deleted
    Then for 1 s no state of a is dated in the future

  Scenario Outline: random faults, seed <seed>
    Guards against discarded history, lost messages, new leaders or restarts,
    in any order, that leave wrong rows at a daemon for longer than allowed.
    A daemon that the store rejects depends on the leader's updates.

    Given daemons a, b, c, d, e with the rows of the store and a as the leader
    When random faults occur for 120 s with seed <seed>
    Then no daemon that reaches the store had wrong rows for more than 2 s
    And no daemon that the store rejects had them for more than 5 s

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 166  |
      | 188  |
