Feature: All daemons know which upstreams have named a request rate
  Daemons exchange messages that may be lost; nothing else connects them.

  Scenario Outline: <count> daemons, and <what>
    Guards against a daemon that learns of a limit only by its own answers,
    or of the end of one not at all.
    Given <count> daemons of one data centre
    When it happens that <what>
    Then within <seconds> s all daemons know <limits> limits

    Examples:
      | count | what                                                  | seconds | limits |
      | 5     | one is told of a limit                                | 0.2     | 1      |
      | 5     | all are told of a limit at once                       | 0.2     | 1      |
      | 5     | one is told of a limit, and another one of its end    | 0.3     | 0      |
      | 5     | one is told of a limit, and another daemon starts     | 2.0     | 1      |
      | 5     | one is cut off while another one is told of a limit   | 2.0     | 1      |
      | 5     | one is cut off while a limit ends                     | 2.0     | 0      |
      | 5     | a message about a limit comes after its end           | 0.3     | 0      |
      | 30    | one is told of 700 limits                             | 4.0     | 700    |

  Scenario: daemons that are told of a limit at once
    Guards against as many broadcasts as there are daemons.
    Given 30 daemons of one data centre
    When it happens that all are told of a limit at once
    Then at most 12 of them tell all others

  Scenario Outline: a daemon of 6 hears <heard> others
    Guards against turns of daemons that are gone, and against a daemon that
    is cut off and takes over the parts of all others.
    Given 6 daemons of one data centre
    When daemon 0 hears <heard> others
    Then it shares limits with <sharing> others

    Examples:
      | heard | sharing |
      | 5     | 5       |
      | 4     | 4       |
      | 3     | 3       |
      | 2     | 5       |
      | 0     | 5       |
