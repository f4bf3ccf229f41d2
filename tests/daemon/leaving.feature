Feature: All daemons know which upstreams have said that they leave
  Daemons exchange messages that may be lost; nothing else connects them.

  Scenario Outline: 5 daemons, and <what>
    Guards against a daemon that sends requests to an upstream that leaves
    since it has none of its answers.
    Given 5 daemons that list an upstream
    When <what>
    Then within <seconds> s all daemons send it nothing new

    Examples:
      | what                                                 | seconds |
      | one is told that it leaves                           | 0.2     |
      | one is told that it leaves, and another one starts   | 2.0     |
      | one is cut off while another one is told of it       | 2.0     |

  Scenario: an upstream that leaves starts again
    Guards against a leave that daemons tell each other for ever.
    Given 5 daemons that list an upstream
    When one is told that it leaves
    And within 0.2 s all daemons send it nothing new
    And it starts again
    Then 1 s later all daemons use it
