Feature: The program on the users' machines, as a process
  It is started with the platform's settings file, learns all from the store,
  and is told what to do by signals.

  Scenario: it starts, serves, takes new settings, and ends in order
    A caller whose request is in progress when the program is told to stop
    gets its whole answer.

    Given the program runs beside a store and a runner
    When a caller asks it for something
    Then the caller gets the whole answer of the runner
    And the runner has been given the team and not the key
    And each metric that it serves stands on the operators' page, and each of the page is served
    When the settings file changes and the program is told so
    Then it says that it has reloaded
    When a settings file that can't be read takes its place
    Then it says that the reload was refused, and serves on
    When it is told to stop while a request is in progress
    Then it is ready no more, and the caller gets the answer
    And it ends by itself with 0

  Scenario: a settings file that can't be used
    When the program is started with a settings file without an address
    Then it ends with 2 and names the field

  Scenario: what is made of a settings file is shown
    When the program is asked to check a settings file
    Then it prints the daemon's own settings
