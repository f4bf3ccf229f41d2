Feature: A probe tells a runner that pauses from a host that is gone
  The leader acts upon how a probe failed: a pause can't close a port.

  Scenario Outline: a probed runner that <does>
    Guards against a pause that looks like a death.

    Given a probed runner that <does>
    When it is probed
    Then the probe gives "<result>"

    Examples: states
      | does                                           | result     |
      | answers                                        | report     |
      | listens no more                                | refused    |
      | has a port that no connection reaches          | unreached  |
      | accepts connections and answers nothing        | silent     |
      | closes each connection at once                 | broken     |
      | answers as another runner                      | no report  |
      | answers with what is no report                 | no report  |
      | answers with a report nested 20000 deep        | no report  |
      | answers with an epoch of 2 to the 64th         | no report  |
      | answers with a start below zero                | no report  |
      | sends a body without end                       | broken     |
      | sends a body of a byte each 0.1 s              | silent     |

  Scenario: a runner that leaves a kept connection silent
    Guards against probes on a kept connection, which may have gone silent
    for good while new ones work.

    Given a probed runner that answers
    When it is probed
    And it is probed
    Then the probe gives "report"

  Scenario: a host goes dark after an answered probe
    Guards against a dead host that looks like a pause, since a connection of
    before is still open.

    Given a probed runner that answers
    When it is probed
    And from then on no connection reaches its port
    And it is probed
    Then the probe gives "unreached"
