Feature: Upstreams that read slowly hold their callers only so long
  A request that is not read in time goes to another upstream where it may be
  repeated; none is said not to have run that may have.

  Scenario Outline: a runner reads 1 KB a second, and runs <when>
    Guards against callers that wait until their deadline for an upstream that
    does not read, while another one would. Pattern of load: one request of
    400 KB after the other.

    Given two plain runners with room for 8 KB unread, of which the first reads 1 KB a second
    And it runs a request <when>
    When a body of 400 KB is sent to /any/thing
    Then it gets 200 with the complete body of a runner
    And that took at most 1.0 s
    And the next one is sent to the second runner at once

    Examples:
      | when                            |
      | once it has read it             |
      | once it has read its head       |

  Scenario Outline: the request may run once only, and runs <when>
    Guards against a promise that a request has not run, while a runner that
    reads it slowly may have begun.

    Given two plain runners with room for 8 KB unread, of which the first reads 1 KB a second
    And it runs a request <when>
    When a body of 400 KB is sent to /once/thing
    Then it gets 504, which says that the request may have run
    And it has run at most once
    And that took at most 2.5 s

    Examples:
      | when                      |
      | once it has read it       |
      | once it has read its head |

  Scenario: the only runner reads slowly
    Guards against a request that is broken off where there is no other
    upstream that could answer.

    Given a plain runner with room for 8 KB unread that reads 200 KB a second
    When a body of 100 KB is sent to /any/thing
    Then it gets 200 with the complete body of a runner

  Scenario: an upstream answers before it has read the whole body
    Guards against taking an upstream that answers early for a slow one, and
    against a next request whose bytes come where the body's rest is due.

    Given a plain runner with room for 8 KB unread that reads 20 KB a second
    And it answers once it has read the head
    When a body of 400 KB is sent to /any/thing
    Then it gets 200 with the complete body of a runner
    And that took at most 1.0 s

  Scenario Outline: <handed> of a head of 100 bytes were sent
    Guards against a promise for a request that may have begun.

    When <handed> bytes of a request with a head of 100 bytes were sent
    Then it <may> run

    Examples:
      | handed | may     |
      | 0      | can not |
      | 99     | can not |
      | 100    | can     |
      | 250    | can     |

  Scenario Outline: <size> bytes, an objective of <objective> ms, <left> ms left, <link> bytes per ms
    Guards against giving up an upstream for the slowness of the own link, and
    against sending until the deadline.

    When the time to send <size> bytes is asked for, with an objective of <objective> ms, <left> ms left and <link> bytes per ms
    Then it is <time> ms

    Examples:
      | size    | objective | left | link | time |
      | 1000    | 100       | 5000 | 0    | 200  |
      | 1000    | 304       | 8109 | 1250 | 304  |
      | 1000000 | 304       | 8109 | 1250 | 3200 |
      | 1000000 | 304       | 1000 | 1250 | 500  |
