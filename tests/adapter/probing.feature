Feature: A probe fails only if the runner did not answer

  Scenario Outline: the leader stands still for <pause> s during a probe
    Guards against a leader that takes its own pause for a runner's silence:
    as it goes on, the timer of the probe is due and the answer is unread.

    Given a runner that answers each probe at once
    When the leader stands still for <pause> s as the answer arrives
    Then the probe has an answer

    Examples:
      | pause |
      | 0.5   |
      | 1.2   |

  Scenario: a runner stands still
    Guards against a probe that never ends, or has an answer that did not come.

    Given a runner that accepts connections and answers nothing
    When the leader probes it
    Then the probe has failed as silent within 0.6 s
