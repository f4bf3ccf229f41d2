Feature: Invalid data of other writers is rejected
  Guards against failures on entries and configurations that other programs
  write with missing, unknown or wrongly typed fields. An invalid entry gives
  no runner; an invalid configuration leaves the last one in force.

  Scenario Outline: an entry with <what>
    When a runner's entry has <what>
    Then it gives <named>

    Examples:
      | what                      | named            |
      | all its fields            | a runner         |
      | unknown fields            | a runner         |
      | a group that is open      | a head           |
      | a state of draining       | a leaving runner |
      | no service                | no runner        |
      | a number as address       | no runner        |
      | an address without a port | no runner        |
      | an unknown state          | no runner        |
      | a null group              | a runner         |
      | an unknown phase          | a runner         |
      | no decodable value        | no runner        |

  Scenario Outline: a configuration with <what>
    When the configuration has <what>
    Then the configuration is <read>

    Examples:
      | what                  | read                      |
      | a split and an engine | read, with both shares    |
      | an unknown kind       | read, as run once at most |
      | no teams              | read, and needs no key    |
      | a text as version     | refused                   |
      | no routes             | refused                   |

  Scenario: the platform's settings file
    When a settings file of the platform is read
    Then the daemon's settings hold its addresses and bounds
