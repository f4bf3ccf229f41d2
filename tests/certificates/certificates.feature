Feature: Certificates through real daemons, one a key
  The record service counts its own runs and writes them to its log, which
  outlives its crashes.  Whatever a caller is told is held against it.

  Scenario Outline: the service gets <fault>, the call has <key>
    The service misbehaves on the call of one caller, which sends it again
    to the other daemon.  With a key that runs again only after "not run";
    without one the daemon itself must not send it a second time.
    Given a record service behind two daemons, <whose>
    And the service gets <fault>
    When a caller asks for a certificate at daemon 0 with <key>
    Then it is told <first>, ran <ran>
    And <runs> certificates were issued
    When a caller asks at daemon 1 with <key> until none is in progress
    Then it is told <again>
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
    A caller's client and the balancer repeat one request at both daemons
    within the time of its first run.
    Given a record service behind two daemons, shared
    When 16 callers send key k1 to both daemons at once
    Then each is told 201 or in-progress, and one at least 201
    And 1 certificates were issued

  Scenario: a daemon is killed in the middle of a call
    The daemon dies by SIGKILL while the service works.  The caller sees
    its connection end and sends the same key to the other daemon.
    Given a record service behind two daemons, its own
    When a caller asks for a certificate and daemon 0 is killed meanwhile
    And a caller asks for a certificate at daemon 1 with key k1
    Then it is told in-progress
    And 1 certificates were issued

  Scenario: a daemon leaves before its outcome is written
    The daemon answers while the platform is down, and gets SIGTERM.  It
    must write the outcome before it ends, or a repeat hears "unknown".
    Given a record service behind two daemons, its own
    When a caller asks for a certificate and the platform goes down meanwhile
    And daemon 0 leaves, and the platform is well after its notice
    And a caller asks at daemon 1 with key k1 until none is in progress
    Then it is told the same answer

  Scenario Outline: the platform is <fault> when a key is claimed
    The table service fails before or after it has taken the claim.
    Given a record service behind two daemons, shared
    When the platform is <fault> for <calls> calls
    And a caller asks for a certificate at daemon 0 with key k1
    Then it is told <first>
    When the platform is well
    Then a caller at daemon 1 is told <again> within seconds
    And 1 certificates were issued

    Examples:
      | fault       | calls | first              | again |
      | down        | -1    | record-unavailable | 201   |
      | lose-answer | 1     | 201                | 201   |

  Scenario: the platform goes down before the outcome is written
    The service has answered and the record can't be written.  The caller
    gets its certificate, and later a repeat gets the same one.
    Given a record service behind two daemons, shared
    When a caller asks for a certificate and the platform goes down meanwhile
    Then it is told 201
    When the platform is well
    Then a caller at daemon 1 is told the same answer within seconds
    And 1 certificates were issued
