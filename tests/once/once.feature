Feature: A keyed request runs at most once
  A doubled certificate gives two owners papers for one bag, and "not run"
  that is untrue has a second one made.  The service's own log judges.

  Scenario Outline: the daemon is killed before step <step> (<next>)
    A daemon dies while it carries a request, and the caller, who has no
    answer, sends it again to another daemon: at once, and once more after
    the time of the first.  The second may run it only if the first never
    claimed the key.
    Given two daemons
    When the first takes <step> steps of a request and is killed
    And the caller repeats it at the second
    Then it is told <soon>
    When the time of the first request passes
    And the caller repeats it at the second
    Then it is told <later>
    And the request was run <runs> times

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
    The first daemon claims the key and the service misbehaves.  The caller
    is told what is known, and repeats the request at the second daemon
    once the service is well.  It runs again only if it provably had not.
    Given two daemons
    And a service that <fault>
    When the caller sends a request to the first
    Then it is told <first>, ran <ran>
    When the service is well again
    And the caller repeats it at the second
    Then it is told <again>
    And the request was run <runs> times

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
    The caller gets its true answer or a true refusal, and a repeat after
    the platform is back is answered truthfully too.
    Given two daemons
    When a request is sent with the platform <fault> for <calls> calls at the <when>
    Then it is told <first>
    When the platform is back and the first daemon goes on
    And the caller repeats it at the second
    Then it is told <again>
    And the request was run 1 times

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

  Scenario Outline: a claim whose caller runs out of time, <when>
    The platform is slow.  The caller's time passes and it is told that
    this try was not run; the claim may take effect all the same, and must
    not bar the key.
    Given two daemons
    When a caller runs out of time <when>
    Then it is told record-unavailable
    When the platform is back and the first daemon goes on
    And the caller repeats it at the second
    Then it is told answer
    And the request was run 1 times

    Examples:
      | when                             |
      | before the batch                 |
      | while the batch is in flight     |
      | after the answer was lost        |
      | in flight with the answer lost   |

  Scenario: every order of two daemons given one key at once
    A caller gives up too early and sends again, to another daemon, while
    the first is at work.  Each order of the steps of both is tried.
    When each order of 4 steps of two daemons is tried on one key
    Then in each order one ran it and the other was told truly

  Scenario: one daemon given one key twice in one batch
    Two tries of one request arrive at one daemon within a batch.  Both
    claims in one transaction would find the key free.
    Given two daemons
    When the first is given one request twice at once
    Then one ran it and the other was told in-progress

  Scenario: taken keys in a batch of many
    Sixty callers share a batch with repeats of requests that have run.
    The batch conflicts; the others must not wait for one try a conflict.
    Given two daemons
    When 60 new keys share a batch with 5 that have run
    Then the new were answered after 2 tries of the batch
    And the repeats were told replay

  Scenario: a repeat during an outage of a request that has run
    The first answer was lost on its way, and the repeat meets an outage.
    "Not run" would be taken for "no certificate", and a second one made.
    Given two daemons
    When the caller sends a request to the first
    And the platform goes down
    And the caller repeats it at the second
    Then it is told record-unavailable, ran unknown

  Scenario Outline: a key comes again with <what>
    A key is bound to its team and to one request.  A client that uses a
    key for two bags must hear of it instead of getting the first one's
    certificate.
    Given two daemons
    When the caller sends a request to the first
    And the second gets the key with <what>
    Then it is told <told>

    Examples:
      | what          | told       |
      | the same body | replay     |
      | another body  | key-reused |
      | another team  | answer     |

  Scenario Outline: an answer of <size> bytes with the object store <store>
    A repeat gets the first answer byte for byte, or hears that it ran.  A
    body cut short or lost must not be replayed as the answer.
    Given two daemons
    When a request is answered with <size> bytes, the object store <store>
    And the caller repeats it at the second
    Then it is told <told>

    Examples:
      | size     | store   | told               |
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
    Then it is told <told>

    Examples:
      | size | told      |
      | 0    | malformed |
      | 1    | answer    |
      | 255  | answer    |
      | 256  | malformed |

  Scenario Outline: <daemons> daemons share the store's writes
    Each daemon may make its share of transactions, so that all of them
    together do not exceed what the platform takes.
    Given a pacer for <daemons> daemons
    When it is asked for transactions for 10 seconds
    Then it lets <count> of them go, give or take 5

    Examples:
      | daemons | count |
      | 1       | 1000  |
      | 8       | 375   |
      | 60      | 50    |

  Scenario: anything at any moment
    Callers repeat requests at any daemon while daemons die, while time
    passes, while the platform and the service fail, all in any order.
    When the machine "RecordMachine" runs
    Then these promises were looked at
      | promise                                                     |
      | one batch is in flight at a time                            |
      | a transaction changes a key once                            |
      | an attempt is dispatched once and ends once                 |
      | not run is said only of what was never sent or was refused  |
      | a claim that is given up was never dispatched               |
