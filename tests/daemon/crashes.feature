Feature: All daemons know which contents crash upstreams
  Daemons exchange messages that may be lost; nothing else connects them.

  Scenario: losses and proofs reach all daemons
    Guards against a daemon that sends a crashing request on since it saw none
    of the crashes.
    Given 5 daemons that know each other
    When daemon 0 loses 4 upstreams with the content 7
    Then within 0.2 s all daemons refuse the content 7
    When daemon 3 delivers an answer on the content 7
    Then within 0.2 s no daemon refuses the content 7

  Scenario: a daemon starts
    Guards against a daemon that starts in the middle of a series of crashes,
    to try what all others refuse.
    Given 5 daemons that know each other
    And daemon 0 loses 4 upstreams with the content 7
    When another daemon starts
    Then it holds requests until it knows, at most 0.5 s, and refuses the content 7

  Scenario: a daemon starts first
    Guards against a first start that waits for evidence that nobody has.
    Given no other daemon
    When another daemon starts
    Then it holds requests at most 0.2 s, and does not refuse the content 7

  Scenario: all other daemons start as well
    Guards against daemons that wait for each other without end.
    Given 3 daemons that have just started
    Then they hold requests at most 1.3 s

  Scenario: a daemon was cut off
    Guards against a daemon that missed all messages of a while, to try what
    all others refuse once it hears them again.
    Given 5 daemons that know each other
    When daemon 4 hears nobody for 1.7 s, and daemon 0 loses 4 upstreams with the content 7
    And daemon 4 hears the others again
    Then it holds requests until it knows, at most 0.5 s, and refuses the content 7

  Scenario: a single message is lost
    Guards against evidence that is told once only.
    Given 5 daemons that know each other
    When daemon 4 misses that daemon 0 loses 4 upstreams with the content 7
    Then within 3.0 s all daemons refuse the content 7

  Scenario: nothing crashes
    Guards against a cost where no fault is.
    Given 5 daemons that know each other
    When 1.2 s pass
    Then no message was sent

  Scenario: many daemons see the same answer
    Guards against as many messages as daemons for one proof.
    Given 100 daemons that know each other
    And daemon 0 loses 1 upstreams with the content 7
    When all daemons deliver an answer on the content 7
    Then at most 20 of them tell the others

  Scenario Outline: all daemons start together, and the record is <state>
    Guards against evidence that is gone once no daemon that had it is left.
    Given a leader whose 4 upstreams were lost with the content 7
    And the stored record is then <state>
    When a daemon reads the rows of the daemons as it starts
    Then it <does> the content 7

    Examples:
      | state                    | does           |
      | as written               | refuses        |
      | unreadable               | does not refuse |
      | cleared by an answer     | does not refuse |

  Scenario: the leader has nothing new
    Guards against a call to the store at each interval.
    Given a leader whose 4 upstreams were lost with the content 7
    When it records what it knows 5 times
    Then the record was written once
