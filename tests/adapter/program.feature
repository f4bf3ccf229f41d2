Feature: The program on the users' machines runs as a process
  It reads the platform's settings file, gets its data from the store and is
  controlled by signals.

  Scenario: it starts, serves, reloads its settings and stops gracefully
    Guards against a stop that cuts off the response to a request in progress.

    Given the program runs beside a store and a runner
    When a caller sends a request
    Then the caller gets the whole response of the runner
    And the runner has received the team and not the key
    And the metrics that it serves are those on the operators' page
    When the settings file changes and the program gets SIGHUP
    Then it logs the reload
    When an invalid settings file replaces it and the program gets SIGHUP
    Then it logs that the reload was refused, and goes on serving
    When it gets SIGTERM while a request is in progress
    Then it is not ready, and the caller gets the whole response
    And it exits with 0

  Scenario: a request outlasts the grace
    Guards against a caller that is cut by a stop, with no line that names its
    request: the record of an incident then shows other requests only.

    Given the program runs with a grace of 4 s beside a store and a runner that answers nothing
    When it gets SIGTERM while a request waits for the runner
    Then it exits with 0
    And one line says that the request is broken since the daemon stopped

  Scenario: an invalid settings file
    When the program is started with a settings file without an address
    Then it exits with 2 and names the field

  Scenario: the check command prints the settings that a file gives
    When the program checks a settings file
    Then it prints the daemon's settings
