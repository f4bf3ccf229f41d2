Feature: The platform's clients tell what is certain of a failed call
  A write that was surely not done may be done again at once.  One whose
  answer was lost may have taken effect, and must be settled first.

  Background:
    Given the platform's process

  Scenario Outline: a write meets a fault
    Given the table service is <fault>
    When a row is written with a timeout of 400 ms
    Then the write is <outcome>
    And the row is <there> once the fault is over

    Examples:
      | fault              | outcome     | there     |
      | well               | Committed   | there     |
      | down               | Unavailable | not there |
      | lose-answer        | AnswerLost  | there     |
      | slow by 1000       | AnswerLost  | there     |

  Scenario: a write that nobody listens to was surely not done
    When the platform's process ends
    And a row is written with a timeout of 400 ms
    Then the write is Unavailable

  Scenario: a condition that does not hold brings the row as it is
    When a row is written with a timeout of 2000 ms
    And the same is written again
    Then the write is Conflict
    And it holds the row as it is

  Scenario: a refusal of something in between proves nothing
    A balancer answers 503 when the platform closed the connection.  The
    write may have taken effect before that.

    Given something in between that answers "503 Service Unavailable"
    When a row is written with a timeout of 400 ms
    Then the write is AnswerLost

  Scenario: an answer without end is cut off
    Given something in between that answers without end
    When the table is read with a timeout of 4000 ms
    Then the read is Unavailable
    And its reason is "too large"

  Scenario: an answer that drips is given up
    Given the machine's own clock
    And something in between whose answer drips
    When the table is read with a timeout of 600 ms
    Then the read is Unavailable
    And its reason is "takes too long"
    And it took at most 1500 ms

  Scenario: a read meets one slow answer
    Given the next 1 answers of the table take 1000 ms
    When the table is read with a timeout of 800 ms
    Then the read is Scan

  Scenario: a store that is slow for long is still read
    Each answer takes 700 ms of the 1,200 that a read may take.  Two tries of
    half the time would both fail, for as long as the store is slow.

    Given the machine's own clock
    And the table service is slow by 700
    When the table is read with a timeout of 1200 ms
    Then the read is Scan
    When the table is read with a timeout of 1200 ms
    Then the read is Scan
    And the platform was asked 3 times

  Scenario: reads of a slow platform end within their timeout
    Given the next 2 answers of the table take 3000 ms
    When the table is read with a timeout of 600 ms
    Then the read is Unavailable
    And it took at most 900 ms

  Scenario: kept connections go silent
    Something between the two ends forgets the connections: they carry
    nothing any more, while new ones work.  Unless all are dropped at the
    first silence, calls that run at once meet the others one by one.

    Given 4 kept connections through a proxy
    When open connections go silent
    And the table is read with a timeout of 600 ms
    Then the read is Scan
    When the table is read by 4 calls at once
    Then it took at most 200 ms

  Scenario: a write on a connection gone silent
    Given 1 kept connections through a proxy
    When open connections go silent
    And a row is written with a timeout of 400 ms
    Then the write is AnswerLost
    When the same is written again
    Then the write is Committed

  Scenario: a connection unused for long is not trusted with a write
    Given 1 kept connections through a proxy
    When 31 s pass without a call
    And open connections go silent
    And a row is written with a timeout of 400 ms
    Then the write is Committed

  Scenario Outline: objects and VMs meet a fault
    Given the <service> service is <fault>
    When <call> is called
    Then it gives <outcome>

    Examples:
      | service | fault       | call | outcome     |
      | objects | well        | put  | NoneType    |
      | objects | down        | put  | Unavailable |
      | objects | lose-answer | put  | AnswerLost  |
      | objects | well        | get  | NotFound    |
      | objects | down        | get  | Unavailable |
      | vms     | well        | vms  | tuple       |
      | vms     | down        | vms  | Unavailable |

  Scenario: an empty object is there
    When an empty object is put
    Then it is read back as empty
