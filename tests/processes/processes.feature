Feature: The real program keeps its promises while faults overlap
  Daemons run as processes of their own before a store and runners that
  misbehave; links go silent, are reset or carry one way; processes are killed,
  paused, stopped and started by signals. Callers keep their connections open.
  What callers got is compared with what runners ran.

  Scenario: a short soak
    Given a soak of seed 11 for 30 s with 4 daemons
    When it has run
    Then no promise was broken
    And each promise that holds always was looked at

  Scenario Outline: <what>
    Nothing is done to any connection. Whoever writes a stream, or reads it,
    does not run for half a second, goes on where it was, and no answer may
    be cut for it.

    Given a soak of seed 210 for 16 s with 4 daemons and no faults
    When it has run while <what>
    Then no promise was broken

    Examples: pauses
      | what                                                   |
      | all replicas stand still for 0.5 s, again and again    |
      | all daemons stand still for 0.5 s, again and again     |

  Scenario Outline: <what>, again and again, and no stream is cut
    Guards against streams that are reset though nobody died and all links are
    sound: some runners, never all, are silent for 1.0 to 1.3 s and go on.

    Given a soak of seed <seed> for 22 s with 4 daemons, 24 callers and no faults
    When it has run while <what>
    Then at least <count> runners fell silent, <busy> of them as they wrote streams
    And each request that was cut is named by its daemon
    And no promise was broken
    And no member was told to leave a head that serves

    Examples: silence
      | what                                      | seed | count | busy |
      | heads of replicas are silent for a second | 304  | 10    | 10   |
      | any runners are silent for a second       | 306  | 10    | 5    |
      | plain runners are silent for a second     | 303  | 10    | 0    |

  Scenario: a member of the only replica leaves while its head works
    The other data centre is out of service. The member says that it leaves,
    listens no more 4 s later, and stays until its head's streams of up to
    2.4 s have ended; no stream can go on elsewhere.

    Given a soak of long streams of seed 102 for 16 s with 4 daemons and no faults
    When it has run while a member of the only large replica leaves
    Then no promise was broken
    And the head worked when its member listened no more

  Scenario Outline: the connections of <which> to all runners <how>
    Guards against daemons that refuse their callers while only their own
    links to the upstreams are gone: callers, store and other daemons reach
    them all the time.

    Given a soak of seed 41 for 20 s with 6 daemons, 24 callers and no faults
    And from 6 s to 16 s the connections of <which> to all runners <how>
    When it has run
    Then no promise was broken
    And callers of daemons with and without links were compared
    And from 2 s after the links are back all are served

    Examples: cuts
      | which           | how                                   |
      | two daemons     | hang                                  |
      | two daemons     | are reset                             |
      | two daemons     | live on while new ones are refused    |
      | one zone        | hang                                  |
      | all but one     | are reset                             |

  Scenario Outline: the connections of all daemons to all runners <how>
    Guards against upstreams that stay unused when the links are back, since
    what failed with the links was counted as their failures.

    Given a soak of seed 41 for 20 s with 6 daemons, 24 callers and no faults
    And from 6 s to 15 s the connections of all daemons to all runners <how>
    When it has run
    Then no promise was broken
    And from 2 s after the links are back all are served

    Examples: all
      | how                                |
      | hang                               |
      | are reset                          |

  Scenario Outline: requests with <which> crash runners, <more>
    Guards against runners that crash one after the other: a part of the
    prompt ends each runner that begins to write on it, and the requests with
    it have nothing else in common.

    Given a soak of seed <seed> for 26 s with 6 daemons, 20 callers and no faults
    And from 6 s on requests with <which> crash runners, <more>
    When it has run
    Then no promise was broken
    And at most 3 requests with a crashing part reach runners later than 3 s after its fifth crash
    And from 6 s after it requests with its key or first part are served at least half as often as before

    Examples: crashes
      | which                   | more                                     | seed |
      | one part                | all of one team                          | 471  |
      | one part                | of all teams                             | 472  |
      | one part                | one in two seconds                       | 473  |
      | one part                | while daemons are killed and start again | 474  |
      | the first part          | all of one team                          | 475  |
      | two parts               | a team each                              | 476  |
      | one part                | while all daemons are killed at once     | 479  |

  Scenario Outline: one request crashes runners each <interval> s, <more>
    Guards against a request that crashes one runner after the other while its
    caller sends it again, and against the refusal of what only ran beside it.

    Given a soak of seed <seed> for 26 s with 6 daemons, 20 callers and no faults
    And from 6 s on one request crashes runners each <interval> s, <more>
    When it has run <beside>
    Then no promise was broken
    And the crashing request reaches runners at most 3 times later than 3 s after its third crash
    And no other request was refused for crashes

    Examples: whole requests
      | interval | more                                     | beside                                  | seed |
      | 0.5      | at any daemon                            | alone                                   | 481  |
      | 1.5      | at any daemon                            | alone                                   | 482  |
      | 1.5      | while daemons are killed and start again | alone                                   | 483  |
      | 1.5      | with another key of its team each time   | alone                                   | 485  |
      | 1.5      | at any daemon                            | beside heads that crash each 1.2 s      | 484  |
      | 1.5      | at any daemon                            | beside heads that crash each 1.2 s      | 487  |

  Scenario Outline: an entry among the runners' is <odd>
    Guards against daemons that end, stop following the list or never get
    ready for one entry that another writer has left in it.

    Given a soak of seed <seed> for 20 s with 4 daemons, 20 callers and no faults
    And from 5 s on an entry among the runners' is <odd>, while a runner and a daemon leave and return
    When it has run
    Then no promise was broken
    And from 14 s on requests are served as often as before 5 s
    And each daemon has logged the entry once

    Examples: odd entries
      | odd                        | seed |
      | nested 20000 deep          | 491  |
      | nested without an end      | 493  |
      | at the port 99999          | 494  |
      | at a host with a NUL byte  | 496  |
      | of a start beyond 63 bits  | 497  |
      | of an epoch beyond 63 bits | 499  |

  Scenario: heads of replicas crash by chance
    Guards against sound requests that are refused since they ran on runners
    that crashed without them.

    Given a soak of seed 477 for 22 s with 6 daemons, 20 callers and no faults
    When it has run while a head of a replica crashes each 0.9 s
    Then no promise was broken
    And no request was refused for crashes

  Scenario: most new connections reach one daemon
    Guards against a daemon that serves its callers worse while a balancer
    hands it nine in ten of all new connections.

    Given a soak of seed 478 for 20 s with 6 daemons, 20 callers and no faults
    And from 6 s to 17 s 100 new connections a second, nine in ten of them at one daemon with room for 200
    When it has run
    Then no promise was broken
    And from 3 s after that what this daemon reads is served at least three quarters as often as before

  Scenario: a daemon wakes after replicas have changed
    Guards against a daemon that was paused for seconds and sends requests by
    the list that it held before: one for a model then runs at a replica of
    another one, to which the head was joined meanwhile.

    Given a soak of seed 1440 for 26 s with 4 daemons
    When it has run
    Then no promise was broken

  Scenario: a process starts right after connections were reset
    The soak of seed 544 lost a daemon's start: the number of a connection that
    a relay had reset went to the new process's pipe, and the hub still had
    the connection's reader under it ("Second simultaneous read").

    Given a relay with 8 connections that wait for an answer
    When they are reset, and a process is started right after
    Then the process has started

  Scenario Outline: a version must be in force <seconds> s after it was written
    Guards against a broken promise that is the machine's: the soak's process
    plays the store, and for 4.78 s of a row it got no processor.

    Given a soak's process that waits <queued> s for a processor
    When a version is written
    Then it must be in force after <seconds> s

    Examples: waits
      | queued | seconds |
      | 0      | 2.0     |
      | 0.5    | 2.5     |

  Scenario: runs beside one another are given no port twice
    Guards against a daemon that does not get ready since a run beside it has
    its port: ports are drawn long before, and between two starts of a daemon.

    Given 8 processes that each draw 200 addresses at once
    Then no address was drawn twice

  Scenario Outline: the ledger finds <mistake>
    A soak that can't fail proves nothing.

    Given a ledger with a request that may run once
    When a runner runs it with <mistake>
    Then the promise "<promise>" is broken

    Examples:
      | mistake          | promise                              |
      | another team     | what runs is what was asked          |
      | another body     | what runs is what was asked          |
      | the caller's key | no key reaches an upstream           |
      | an unknown id    | what runs was asked for              |
      | an earlier run   | what may not repeat runs once        |
      | an earlier 503   | what was said not to run does not    |
      | a later 503      | what was said not to run has not     |

  Scenario Outline: requests that must run once, as runners <what>
    Guards against a second run: runners turn requests away and answer twice,
    start again at their addresses under new ids, are stopped by signals and
    take each other's addresses; daemons are killed, stopped, and lose links.

    Given a soak of requests that must run once, of seed <seed> for <seconds> s
    When it has run
    Then no promise was broken
    And at least <count> requests that must run once were sent again

    Examples: once
      | what                                 | seed | seconds | count |
      | come and go in any order             | 701  | 20      | 50    |
      | start again and take other addresses | 704  | 20      | 50    |
