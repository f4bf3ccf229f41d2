Feature: A call to a plain service ends in time, whatever the service does
  A service takes the call and says nothing more, or sends a byte now and
  then for ever.  The caller must have its final answer at the deadline, and
  a look-up that may be repeated must be tried again on a new connection
  while there is time.

  Scenario: a look-up on a connection that has gone silent is tried again
    Given the record service will silent-get once
    When a caller looks a record up within 2000 ms
    Then it gets the record in time

  Scenario: a service that answers a byte at a time
    Given the record service will drip always
    When a caller looks a record up within 600 ms
    Then it is told that there was no answer, in time

  Scenario: a call that may not be repeated is not tried again
    Given the record service will silent-before once
    When a caller has a certificate issued within 500 ms, without a key
    Then it is told that the outcome is unknown, in time
    And the service was asked once
