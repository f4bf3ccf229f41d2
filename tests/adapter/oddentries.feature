Feature: One odd entry of another writer hides no other one
  An entry is one row.  Whatever it holds, it names no upstream, it is logged
  once with its key and why, and the others are followed.

  Scenario Outline: an entry has <what>
    Guards against a value that ends the task which reads the list, or that
    fails later, when it is connected to, counted with or told other daemons.
    Given a daemon that follows a list of runners
    When another writer leaves an entry that has <what>
    And runners come and leave after that
    Then the runners that are listed are in use, and no other
    And the entry is logged once with its key and a reason, and counted once

    Examples: values
      | what                                     |
      | a value nested 20000 deep                |
      | a value nested without an end            |
      | a value nested 900 deep                  |
      | a group nested 20000 deep                |
      | a value that is not base64               |
      | a value that is not UTF-8                |
      | a list as value                          |
      | no field at all                          |

    Examples: addresses
      | what                                     |
      | the port 99999                           |
      | the port 0                               |
      | the port -1                              |
      | a port of 5000 digits                    |
      | the port "²"                             |
      | a host with a NUL byte                   |
      | a host with an empty label               |
      | a host of 300 letters                    |
      | no host                                  |

    Examples: numbers and texts
      | what                                     |
      | a start of 2 to the 64th                 |
      | a start below zero                       |
      | slots of 10 to the 30th                  |
      | slots below zero                         |
      | an epoch of 2 to the 64th                |
      | a rank below zero                        |
      | a cold time of 10 to the 300th           |
      | a domain of 5000 digits                  |
      | an unknown field of 10 to the 30th       |
      | a zone of 60000 letters                  |
      | an id with a line feed                   |

  Scenario: an entry is odd, is mended, and is odd again
    Guards against an entry that stays out once it can be read, or that is
    logged with each heartbeat.
    Given a daemon that follows a list of runners
    When an entry is odd in 3 versions, can be read, and is odd in 3 versions again
    Then it is in use while it can be read
    And it is logged 2 times

  Scenario: a decoder fails on an entry in a way of its own
    Guards against an error that no decoder foresees.
    Given a daemon that follows a list of runners with a decoder that fails for one
    When runners come and leave after that
    Then the runners that are listed are in use, and no other

  Scenario: a daemon starts beside an odd entry
    Guards against a daemon that never gets ready.
    Given a list of runners in which an entry is nested 20000 deep
    When a daemon starts to follow it
    Then the runners that are listed are in use, and no other

  Scenario Outline: the row of a daemon has <what>
    Guards against a daemon that others can't connect to, and whose address
    ends the task that tries.
    Given rows of 3 daemons, of which one has <what>
    When another daemon reads them twice
    Then it knows the other two, and logs the odd one once

    Examples:
      | what                        |
      | the port 99999              |
      | a host with a NUL byte      |
      | a relay at the port 99999   |
      | a number as address         |
      | no field at all             |
