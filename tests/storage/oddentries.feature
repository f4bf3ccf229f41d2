Feature: One odd entry of the platform's services hides no other one
  The own interface reads lists of VMs and rows in one answer each.

  Scenario Outline: a VM of the list has <what>
    Guards against a list that can't be read for one entry in it.
    Given a list of 3 VMs, of which one has <what>
    When the list is read twice
    Then it holds the other two
    And the odd one is reported once, as <key>

    Examples:
      | what                                 | key     |
      | a domain nested 20000 deep           | vm-odd  |
      | the port 99999                       | vm-odd  |
      | a port of 5000 digits                | vm-odd  |
      | an address with a NUL byte           | vm-odd  |
      | accelerators of 10 to the 30th       | vm-odd  |
      | accelerators below zero              | vm-odd  |
      | an unknown state                     | vm-odd  |
      | a number as name                     | entry 1 |
      | no fields                            | entry 1 |

  Scenario Outline: a row of a table holds <what>
    Guards against a table that can't be read for one row in it, and against
    a value that daemons can't tell each other.
    Given a table of 3 rows, of which one holds <what>
    When the table is scanned
    Then it has 3 rows, of which the odd one says why it can't be used

    Examples:
      | what                  |
      | a number beyond 64 bit |
      | a number below 64 bit |
      | a list                |
      | a text                |
      | nothing               |
      | a value nested 400 deep |

  Scenario: a row is nested more deeply than the decoder goes
    Given a table of 3 rows, of which one holds a value nested 20000 deep
    When the table is scanned
    Then it has 3 rows, of which two are as written

  Scenario Outline: JSON that holds <body> is cut to <cut>
    When values that are nested more than 100 deep are cut from <body>
    Then <cut> is left

    Examples:
      | body                             | cut                              |
      | [1,{"a":[2]}]                    | [1,{"a":[2]}]                    |
      | ["[[[", "\"[{"]                  | ["[[[", "\"[{"]                  |
      | a list of 100 levels             | a list of 100 levels             |
      | a list of 101 levels             | a list of 100 levels with null   |
