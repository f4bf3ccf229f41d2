Feature: A bounded, non-blocking decision log
  Complaints are analysed from logs alone.  The log must show the causes of
  failures, and a slow or absent reader must not delay any request.

  Scenario Outline: the reader of the log <what>
    A pipe holds 64 KB; a blocking write to a full one would stop the daemon.

    Given a log whose reader <what>
    When 20000 lines are logged
    Then logging them took less than 4 s in total
    And every line that is read is complete
    And lines that were dropped are counted

    Examples:
      | what          |
      | reads slowly  |
      | reads nothing |
      | has closed    |

  Scenario: state changes are logged when notes are dropped
    Given a log whose reader reads nothing
    When more notes are logged than fit into a second
    Then a state change is still logged

  Scenario: the number of dropped lines is logged once there is room again
    Given a log whose reader pauses for a second
    Then a line reports how many were dropped

  Scenario Outline: a daemon exits while the reader <what>
    Guards against lines that are lost as a daemon exits: they show what it
    did last. A reader that has stopped must not delay the exit.

    Given a log whose reader <what>
    When 1000 lines are queued and the daemon exits
    Then <count> lines are read, and it took at most 0.4 s

    Examples: exits
      | what          | count       |
      | reads at once | 1000        |
      | reads nothing | less        |
      | has closed    | less        |

  Scenario Outline: a request at a daemon that logged <events> 20 s before
    Guards against a refusal whose cause is too old to be shown: a cut lasts
    for as long as nobody mends it.

    Given a log with <events> of a daemon, and a request 20 s later
    When the tool explains the request
    Then the tool shows <count> cuts

    Examples: cuts
      | events                    | count |
      | links cut                 | 1     |
      | links cut, links back     | 0     |

  Scenario Outline: a <kind> request is traced from its id to its cause
    The lines are those that a daemon logs while scripted runners fail.

    Given a daemon with scripted runners, whose log is recorded
    When a request is <kind>
    And the tool explains its id from the log
    Then the tool shows "<cause>"

    Examples:
      | kind       | cause                        |
      | refused    | no upstream of the service   |
      | late       | upstream stands still        |
      | broken off | ending=BROKEN                |

  Scenario Outline: <field> of a request that a full replica pool refuses
    Guards against a refusal of which nobody can tell whether the team was
    above its share, how full the pool was, and how old that knowledge.

    Given a daemon with scripted runners, whose log is recorded
    When a full replica pool refuses a request
    And the tool explains its id from the log
    Then the tool shows "<field>"

    Examples: fields
      | field         |
      | team=team-1   |
      | team_use=     |
      | team_share=   |
      | pool_excess=  |
      | known_age_ms= |
