Feature: A request to a plain service ends by its deadline
  A service may accept a request and send nothing, or send single bytes
  forever.  The caller must get a response by its deadline, and a repeatable
  request must be retried on a new connection while time is left.

  Scenario: a look-up on a silent connection is retried
    Given the record service injects the fault silent-get once
    When a caller looks up a record within 2000 ms
    Then it gets the record in time

  Scenario: a service that sends one byte at a time
    Given the record service injects the fault drip always
    When a caller looks up a record within 600 ms
    Then it gets a timeout error in time

  Scenario: a request that is not repeatable is not retried
    Given the record service injects the fault silent-before once
    When a caller orders a certificate within 500 ms, without a key
    Then it gets an error in time that the outcome is unknown
    And the service got one request
