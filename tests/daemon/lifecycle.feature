Feature: Startup checks and graceful shutdown of a daemon
  Operators replace daemons at any time.  A daemon that stops must complete
  its requests; one that can't start must report all reasons at once.

  Scenario: a graceful shutdown aborts no request in progress
    An operator sends SIGTERM to a daemon while a caller reads a streamed
    response.  The daemon reports that it is not ready, closes its listener
    after the stop notice and waits for the response to end.
    Given a daemon that is streaming a response
    When the daemon receives SIGTERM
    Then it reports that it is not ready
    And a request on a keep-alive connection during the stop notice is answered
    And new connections are refused after the stop notice
    And a keep-alive connection that carries no request is closed
    And the caller receives the whole response, and the daemon exits with 0

  Scenario: settings with several errors
    When a daemon starts with four errors in its settings
    Then it exits with 2 and reports all four, each with its remedy
    And an invalid secret key is not printed

  Scenario Outline: a settings file that can't be read
    When a daemon starts with a file that <is>
    Then it exits with 2 and prints "<message>"

    Examples:
      | is             | message            |
      | does not exist | No such file       |
      | holds no JSON  | JSON with comments |
      | holds a list   | it holds a list    |

  Scenario: an address that is taken
    When a daemon starts on an address that is in use
    Then it exits with 2 and prints "free the address"

  Scenario: metrics and health are served
    Given a daemon that is streaming a response
    Then its metrics show the requests in progress and base units
