Feature: Few daemons ask the platform, and none goes by an old reading
  At the start of 82 daemons each asked for every change of two tables: 8,000
  calls in half a minute, each paid for, and all with the same answers.

  Scenario: nobody's word comes to one that others do not go by
    It asks now and then, without waiting for changes, and never believes a
    reading for longer than a runner may go on getting requests after it left.

    Given a daemon that follows a table and that nobody goes by
    When 10 s pass without a word
    Then it has asked 8 times at most
    And no reading it went by was older than 1700 ms

  Scenario: a word that comes every second
    Given a daemon that follows a table and that nobody goes by
    When 10 s pass with a word each second
    Then it has asked 2 times at most

  Scenario: a reader's word runs out for all at once
    Those that should be read for wait a moment for the next word, so that the
    platform is asked by the reader alone.

    Given a daemon that follows a table and that nobody goes by
    When 10 s pass with a word each 1600 ms
    Then it has asked 2 times at most
    And no reading it went by was older than 1700 ms

  Scenario: the leader dies and a keeper takes over the reading
    Its first call asks whether there was any change, and must not be held
    back until there is one: what it knew is 1.5 s old by then.

    Given a daemon that follows a table by another's word
    When that word stops and others go by this one
    Then its first call does not wait, and the following ones do

  Scenario: the platform's counter goes on with other tables' changes
    Each renewal of the lead raises it. Whoever takes that for a change of its
    own table asks the platform once a second, and all daemons do.

    Given a daemon that follows a table and that nobody goes by
    When for 10 s each second a counter is told that rises
    Then it has asked 0 times at most

  Scenario: a change that did not arrive shows in the next word
    Given a daemon that follows a table and that nobody goes by
    When a word tells of a change that did not arrive
    Then it has asked 1 times at most
    And it has asked 1 times at least
