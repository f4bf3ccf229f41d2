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

  Scenario Outline: features with the contracts <contracts>, without <without>
    Guards against a feature in force where nothing asks for it, or that an
    operator can't switch off.

    When a settings file with the contracts "<contracts>" is read, without "<without>"
    Then its features are "<features>"

    Examples:
      | contracts      | without                | features                                                          |
      | none           | none                   | fair_shares, even_load, local_rooms                               |
      | base, pressure | none                   | fair_shares, even_load, local_rooms, slow_peers                   |
      | base, pressure | even_load, local_rooms | fair_shares, slow_peers                                           |

  Scenario: an unknown feature is to be switched off
    When a settings file with the contracts "none" is read, without "evenload"
    Then it is refused, and the features to choose from are named

  Scenario: limits of the VM
    When a settings file of a VM with limits is read
    Then the daemon knows its memory, processors and link
