Feature: Lines that tell why, bounded, and never in the way
  After a complaint there are only logs. They must be there for what went
  wrong, and must cost no request anything when nobody reads them.

  Scenario Outline: the reader of the log <what>
    A pipe holds 64 KB; a write into a full one would stop the whole daemon.

    Given a log whose reader <what>
    When 20000 lines are noted
    Then noting them took less than 4 s in all
    And every line that is read is whole
    And lines that were dropped are counted

    Examples:
      | what          |
      | reads slowly  |
      | reads nothing |
      | has closed    |

  Scenario: changes of belief are the last to go
    Given a log whose reader reads nothing
    When more is noted than fits into a second
    Then a change of belief is still taken

  Scenario: what was dropped is told once there is room again
    Given a log whose reader has a pause of a second
    Then a line tells how many were dropped

  Scenario Outline: a <kind> request is traced from its id to its cause
    The lines are those that the daemons wrote while scripted runners failed.

    Given a daemon before scripted runners, whose log is kept
    When a request is <kind>
    And its id is given to the tool with the log
    Then the tool tells of "<cause>"

    Examples:
      | kind       | cause                        |
      | refused    | no upstream of the service   |
      | late       | upstream stands still        |
      | broken off | ending=BROKEN                |
