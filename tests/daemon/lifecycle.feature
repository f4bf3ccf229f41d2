Feature: A daemon starts whole or not at all, and leaves without a cut
  Operators replace daemons at any time.  One that leaves must end what it
  has begun; one that can't start must say why, all at once.

  Scenario: a graceful shutdown cuts off no request in progress
    The operator ends a daemon with SIGTERM while a caller reads a streamed
    answer.  The daemon says that it is not ready, closes its listener after
    the notice, and waits for the answer to end.
    Given a daemon in the middle of a streamed answer
    When the daemon gets SIGTERM
    Then it says that it is not ready
    And a request on a kept connection in the notice is still answered
    And new connections are refused after the notice
    And the caller reads the whole answer, and the daemon exits with 0

  Scenario: settings with many mistakes
    When a daemon starts with settings that hold four mistakes
    Then it exits with 2 and names all four, each with its remedy
    And a mistyped secret key is not shown

  Scenario Outline: a settings file that can't be read
    When a daemon starts with a file that <is>
    Then it exits with 2 and says "<words>"

    Examples:
      | is             | words              |
      | does not exist | No such file       |
      | holds no JSON  | JSON with comments |
      | holds a list   | it holds a list    |

  Scenario: an address that is taken
    When a daemon starts on an address that is taken
    Then it exits with 2 and says "free the address"

  Scenario: metrics and health are served
    Given a daemon in the middle of a streamed answer
    Then its metrics name the requests in progress in base units
