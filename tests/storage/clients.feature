Feature: The platform's clients distinguish failed writes from unknown ones
  A write that certainly had no effect can be retried at once.  One whose
  response was lost may have taken effect, so that its outcome must be
  determined first.

  Background:
    Given the platform's process

  Scenario Outline: a write while the table service is <fault>
    Given the table service is <fault>
    When a row is written with a timeout of 400 ms
    Then the write is <outcome>
    And the row is <presence> after the fault

    Examples:
      | fault              | outcome     | presence |
      | healthy            | Committed   | present  |
      | down               | Unavailable | absent   |
      | lose-answer        | AnswerLost  | present  |
      | slow by 1000       | AnswerLost  | present  |

  Scenario: a write to a platform that does not listen had no effect
    When the platform's process ends
    And a row is written with a timeout of 400 ms
    Then the write is Unavailable

  Scenario: a failed condition returns the current row
    When a row is written with a timeout of 2000 ms
    And the same row is written again
    Then the write is Conflict
    And it contains the current row

  Scenario: an error response of an intermediary proves nothing
    A load balancer responds with 503 when the platform closes the connection.
    The write may have taken effect before that.

    Given an intermediary that responds with "503 Service Unavailable"
    When a row is written with a timeout of 400 ms
    Then the write is AnswerLost

  Scenario: an endless response is cut off
    Given an intermediary that responds without end
    When the table is read with a timeout of 4000 ms
    Then the read is Unavailable
    And its reason contains "too large"

  Scenario: a response that arrives too slowly is cut off
    Given the system clock
    And an intermediary that responds byte by byte
    When the table is read with a timeout of 600 ms
    Then the read is Unavailable
    And its reason contains "takes too long"
    And it took at most 1500 ms

  Scenario: a read survives one slow response
    Given the next 1 responses of the table take 1000 ms
    When the table is read with a timeout of 800 ms
    Then the read is Scan

  Scenario: a store that stays slow can still be read
    Each response takes 700 ms of the 1,200 that a read may take.  Two attempts
    of half that time would both fail for as long as the store is slow.

    Given the system clock
    And the table service is slow by 700
    When the table is read with a timeout of 1200 ms
    Then the read is Scan
    When the table is read with a timeout of 1200 ms
    Then the read is Scan
    And the platform got 3 reads

  Scenario: reads of a slow platform end within their timeout
    Given the next 2 responses of the table take 3000 ms
    When the table is read with a timeout of 600 ms
    Then the read is Unavailable
    And it took at most 900 ms

  Scenario: pooled connections go silent
    A device between the two ends drops the state of open connections: nothing
    passes on them, while new ones work.  Unless all are closed at the first
    timeout, concurrent calls run into the others one by one.

    Given 4 pooled connections through a proxy
    When open connections go silent
    And the table is read with a timeout of 600 ms
    Then the read is Scan
    When the table is read by 4 concurrent calls
    Then it took at most 200 ms

  Scenario: a write on a silent connection
    Given 1 pooled connections through a proxy
    When open connections go silent
    And a row is written with a timeout of 400 ms
    Then the write is AnswerLost
    When the same row is written again
    Then the write is Committed

  Scenario: a connection that was idle for long is not used for a write
    Given 1 pooled connections through a proxy
    When 31 s pass without a call
    And open connections go silent
    And a row is written with a timeout of 400 ms
    Then the write is Committed

  Scenario Outline: a call of <call> while the <service> service is <fault>
    Given the <service> service is <fault>
    When <call> is called
    Then the result is <outcome>

    Examples:
      | service | fault       | call | outcome     |
      | objects | healthy     | put  | NoneType    |
      | objects | down        | put  | Unavailable |
      | objects | lose-answer | put  | AnswerLost  |
      | objects | healthy     | get  | NotFound    |
      | objects | down        | get  | Unavailable |
      | vms     | healthy     | vms  | tuple       |
      | vms     | down        | vms  | Unavailable |

  Scenario: an empty object exists
    When an empty object is written
    Then it is read back as empty
