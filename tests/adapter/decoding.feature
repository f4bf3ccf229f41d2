Feature: What others write is read with care
  An entry of another writer, of other types or unreadable, names no runner;
  a configuration that can't be read leaves the last one in force.

  Scenario Outline: an entry with <what>
    When a runner's entry has <what>
    Then it names <named>

    Examples:
      | what                       | named     |
      | all its fields             | a runner  |
      | fields that nobody knows   | a runner  |
      | a group that is open       | a head    |
      | a state of draining        | a leaver  |
      | no service                 | no runner |
      | a number as address        | no runner |
      | an address without a port  | no runner |
      | a state that nobody knows  | no runner |
      | no group but null          | a runner  |
      | a phase that nobody knows  | a runner  |
      | bytes that can't be read   | no runner |

  Scenario Outline: a configuration with <what>
    When the configuration has <what>
    Then what is declared is <read>

    Examples:
      | what                      | read                      |
      | a split and an engine     | read, with both shares    |
      | a kind that nobody knows  | read, as run once at most |
      | no teams                  | read, and asks for no key |
      | a word as version         | refused                   |
      | no routes                 | refused                   |

  Scenario: the platform's settings file
    When the settings file of the platform's pages is read
    Then the daemon's settings hold its addresses and bounds
