Feature: Real daemons issue one certificate for each key
  The record service writes each run to its log, which survives its crashes.
  All replies to callers are checked against this log.

  Scenario Outline: the service gets <fault>, the call has <key>
    The service fails during a call, and the caller repeats it at the other
    daemon.  With a key it may run again only if it did not run before.
    Without a key, the daemon itself must not send it a second time.
    Given a record service behind two daemons, <whose>
    And the service gets <fault>
    When a caller asks for a certificate at daemon 0 with <key>
    Then the reply is <first>, ran <ran>
    And <runs> certificates were issued
    When a caller asks at daemon 1 with <key> until none is in progress
    Then the reply is <again>
    And <after> certificates were issued

    Examples:
      | fault         | key    | first           | ran     | runs | again           | after | whose    |
      | refuse        | key k1 | 201             | -       | 1    | 201             | 1     | shared   |
      | silent-before | key k1 | outcome-unknown | unknown | 0    | outcome-unknown | 0     | shared   |
      | silent-after  | key k1 | outcome-unknown | unknown | 1    | outcome-unknown | 1     | shared   |
      | crash-before  | key k1 | outcome-unknown | unknown | 0    | outcome-unknown | 0     | its own  |
      | crash-after   | key k1 | outcome-unknown | unknown | 1    | outcome-unknown | 1     | its own  |
      | nothing       | key k1 | 201             | -       | 1    | 201             | 1     | shared   |
      | silent-after  | no key | outcome-unknown | unknown | 1    | 201             | 2     | shared   |

  Scenario: one key sent to two daemons at once, many times
    The client and the load balancer repeat one request at both daemons
    while it runs for the first time.
    Given a record service behind two daemons, shared
    When 16 callers send key k1 to both daemons at once
    Then each reply is 201 or in-progress, and at least one is 201
    And 1 certificates were issued

  Scenario: a daemon is killed in the middle of a call
    The daemon gets SIGKILL while the service works.  The caller loses its
    connection and repeats the request with its key at the other daemon.
    Given a record service behind two daemons, its own
    When a caller asks for a certificate and daemon 0 is killed meanwhile
    And a caller asks for a certificate at daemon 1 with key k1
    Then the reply is in-progress
    And 1 certificates were issued

  Scenario: a daemon stops before its outcome is written
    The daemon responds while the platform is down, and gets SIGTERM.  It
    must write the outcome before it exits, or a repeat gets "unknown".
    Given a record service behind two daemons, its own
    When a caller asks for a certificate and the platform goes down meanwhile
    And daemon 0 stops, and the platform recovers after its stop notice
    And a caller asks at daemon 1 with key k1 until none is in progress
    Then the reply is the first response again

  Scenario Outline: the platform is <fault> when a key is claimed
    The table service fails before or after it has stored the claim.
    Given a record service behind two daemons, shared
    When the platform is <fault> for <calls> calls
    And a caller asks for a certificate at daemon 0 with key k1
    Then the reply is <first>
    When the platform recovers
    Then the reply at daemon 1 is <again> within seconds
    And 1 certificates were issued

    Examples:
      | fault       | calls | first              | again |
      | down        | -1    | record-unavailable | 201   |
      | lose-answer | 1     | 201                | 201   |

  Scenario: the platform goes down before the outcome is written
    The service has responded and the outcome can't be written.  The caller
    must get its certificate, and a later repeat the same one.
    Given a record service behind two daemons, shared
    When a caller asks for a certificate and the platform goes down meanwhile
    Then the reply is 201
    When the platform recovers
    Then the reply at daemon 1 is the first response again within seconds
    And 1 certificates were issued
