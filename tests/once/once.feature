Feature: A keyed request runs at most once
  A request that runs twice issues two certificates for one bag, and a false
  "not run" makes the caller request a second one.  The replies are checked
  against the service's own log.

  Scenario Outline: the daemon is killed before step <step> (<next>)
    A daemon dies during a request.  The caller, which has no response,
    repeats it at another daemon: at once, and again after the first attempt
    has expired.  The second daemon may run it only if the first never
    claimed the key.
    Given two daemons
    When the first daemon performs <step> steps of a request and is killed
    And the caller repeats it at the second daemon
    Then the reply is <soon>
    When the first request expires
    And the caller repeats it at the second daemon
    Then the reply is <later>
    And the request ran <runs> times

    Examples:
      | step | next    | soon        | later           | runs |
      | 0    | claim   | answer      | replay          | 1    |
      | 1    | take    | answer      | replay          | 1    |
      | 2    | commit  | answer      | replay          | 1    |
      | 3    | settle  | in-progress | outcome-unknown | 0    |
      | 4    | claimed | in-progress | outcome-unknown | 0    |
      | 5    | serve   | in-progress | outcome-unknown | 0    |
      | 6    | end     | in-progress | outcome-unknown | 1    |
      | 7    | take    | in-progress | outcome-unknown | 1    |
      | 8    | commit  | in-progress | outcome-unknown | 1    |
      | 9    | settle  | replay      | replay          | 1    |
      | 10   | none    | replay      | replay          | 1    |

  Scenario Outline: the service <fault>
    The first daemon claims the key and the service fails.  The caller
    repeats the request at the second daemon after the service has
    recovered.  It may run only if it provably did not run before.
    Given two daemons
    And a service that <fault>
    When the caller sends a request to the first daemon
    Then the reply is <first>, ran <ran>
    When the service recovers
    And the caller repeats it at the second daemon
    Then the reply is <again>
    And the request ran <runs> times

    Examples:
      | fault              | first           | ran     | again           | runs |
      | answers            | answer          | -       | replay          | 1    |
      | unreachable        | no-upstream     | no      | answer          | 1    |
      | refuses            | upstream-failed | no      | answer          | 1    |
      | crashes before     | outcome-unknown | unknown | outcome-unknown | 0    |
      | crashes during     | outcome-unknown | unknown | outcome-unknown | 1    |
      | crashes after      | outcome-unknown | unknown | outcome-unknown | 1    |
      | silent before      | outcome-unknown | unknown | outcome-unknown | 0    |
      | silent after       | outcome-unknown | unknown | outcome-unknown | 1    |
      | lost by a balancer | outcome-unknown | unknown | outcome-unknown | 1    |

  Scenario Outline: the platform is <fault> for <calls> calls at the <when>
    The platform fails while a key is claimed or its outcome is written.
    Both the first reply and the reply to a repeat after the platform has
    recovered must be correct.
    Given two daemons
    When a request is sent with the platform <fault> for <calls> calls at the <when>
    Then the reply is <first>
    When the platform recovers and the first daemon continues
    And the caller repeats it at the second daemon
    Then the reply is <again>
    And the request ran 1 times

    Examples:
      | fault       | calls | when    | first              | again  |
      | down        | 1     | claim   | record-unavailable | answer |
      | down        | 3     | claim   | record-unavailable | answer |
      | lose-answer | 1     | claim   | answer             | replay |
      | lose-answer | 2     | claim   | answer             | replay |
      | lose-answer | 9     | claim   | answer             | replay |
      | down        | 1     | outcome | answer             | replay |
      | down        | 5     | outcome | answer             | replay |
      | lose-answer | 1     | outcome | answer             | replay |
      | lose-answer | 5     | outcome | answer             | replay |

  Scenario Outline: a claim whose caller times out, <when>
    The platform is slow.  The caller times out and its attempt is not run.
    The claim may still take effect later, and must not block the key.
    Given two daemons
    When a caller times out <when>
    Then the reply is record-unavailable
    When the platform recovers and the first daemon continues
    And the caller repeats it at the second daemon
    Then the reply is answer
    And the request ran 1 times

    Examples:
      | when                             |
      | before the batch                 |
      | while the batch is in flight     |
      | after the response was lost      |
      | in flight with the response lost |

  Scenario: two daemons claim one key in every possible order
    A caller gives up early and repeats the request at another daemon while
    the first is still working.  Every interleaving of their steps is run.
    When two daemons run 4 steps on one key in each possible order
    Then in each order one ran it and the other got in-progress

  Scenario: one daemon gets one key twice in one batch
    Two attempts of one request arrive at one daemon within one batch.  Both
    claims would succeed if they were in the same transaction.
    Given two daemons
    When the first daemon gets one request twice at once
    Then one ran it and the other got in-progress

  Scenario: used keys in a large batch
    Sixty callers share a batch with repeats of requests that have run.  The
    batch conflicts, and must not need one more commit for each conflict.
    Given two daemons
    When 60 new keys share a batch with 5 keys that have run
    Then the new keys were answered after 2 commits
    And the repeats got replay

  Scenario: a request that has run is repeated during an outage
    The caller lost the first response and repeats the request during an
    outage.  It would take "not run" for "no certificate was issued" and
    request a second one.
    Given two daemons
    When the caller sends a request to the first daemon
    And the platform goes down
    And the caller repeats it at the second daemon
    Then the reply is record-unavailable, ran unknown

  Scenario Outline: a key is used again with <what>
    A key is bound to its team and to one request.  A client that uses one
    key for two bags must get an error instead of the certificate of the
    first bag.
    Given two daemons
    When the caller sends a request to the first daemon
    And the second daemon gets the key with <what>
    Then the reply is <reply>

    Examples:
      | what          | reply      |
      | the same body | replay     |
      | another body  | key-reused |
      | another team  | answer     |

  Scenario Outline: an answer of <size> bytes with the object store <store>
    A repeat gets the first response byte for byte, or a refusal that says
    that it ran.  A truncated or lost body must not be replayed.
    Given two daemons
    When a request is answered with <size> bytes, the object store <store>
    And the caller repeats it at the second daemon
    Then the reply is <reply>

    Examples:
      | size     | store   | reply              |
      | 0        | well    | replay             |
      | 16384    | well    | replay             |
      | 16385    | well    | replay             |
      | 16385    | down    | outcome-unknown    |
      | 16385    | changed | outcome-unknown    |
      | 16385    | away    | record-unavailable |
      | 8388609  | well    | outcome-unknown    |

  Scenario Outline: a key of <size> characters
    Given two daemons
    When a key of <size> characters is sent
    Then the reply is <reply>

    Examples:
      | size | reply     |
      | 0    | malformed |
      | 1    | answer    |
      | 255  | answer    |
      | 256  | malformed |

  Scenario Outline: <daemons> daemons share the store's writes
    Each daemon is limited to its share of transactions, so that all daemons
    together do not exceed the capacity of the platform.
    Given a pacer for <daemons> daemons
    When it limits transactions for 10 seconds
    Then it allows <count> of them, with a tolerance of 5

    Examples:
      | daemons | count |
      | 1       | 1000  |
      | 8       | 375   |
      | 60      | 50    |

  Scenario: faults of all kinds in any order
    Callers repeat requests at any daemon, daemons die, time passes, and the
    platform and the service fail, in any order.
    When the machine "RecordMachine" runs
    Then these invariants were checked
      | invariant                                                   |
      | one batch is in flight at a time                            |
      | a transaction changes a key once                            |
      | an attempt is dispatched once and ends once                 |
      | not run is said only of what was never sent or was refused  |
      | a claim that is given up was never dispatched               |
