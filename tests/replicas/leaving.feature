Feature: What runs at a replica may end while one of its members leaves
  A runner that leaves listens no more, and stays until its head's work has
  ended.  To a leader that looks at it, this is the same silence as a death.

  Scenario: a member lapses from the list, and later listens no more
    Some runners leave without saying so: their entry goes, they serve on for
    seconds, then they only stay for the head's work. Cut, that work is lost
    to its callers.

    Given 2 domains of 9 runners serve
    When the entry of a member of a "large" replica lapses, and 4 s later it listens no more
    Then its head is told to let what runs end, before anything is cut

  Scenario: a head that leaves listens no more while it works
    Its group was told to close when it said that it leaves, and the last
    streams still run. Members that leave it now would stop them midway.

    Given 2 domains of 9 runners serve
    When the head of a "large" replica leaves while it works, and 2 s later listens no more
    Then for 1.5 s nobody of its group is told to leave
    And within 4 s all of its group are told to leave
    And no runner was ever in two groups, and none opened incomplete

  Scenario: the work of a head whose member has left does not end
    The member may have died before that work ended; nobody could tell. The
    head then stands still, and its runners are needed elsewhere.

    Given 2 domains of 9 runners serve
    When a "large" replica's head works without an end
    And a member of a "large" replica leaves, and 4 s later listens no more
    Then its head is told to let what runs end, before anything is cut
    And within 3 s it is told to cut
    And no runner was ever in two groups, and none opened incomplete

  Scenario: a member that dies in the middle of a work
    It said nothing, and nothing that runs can end: waiting for it would only
    keep the callers' streams silent for seconds.

    Given 2 domains of 9 runners serve
    When a "large" replica's head works without an end
    And a member of a "large" replica dies without a word
    And the head is accused of standing still
    Then within 2 s it is told to cut

  Scenario: a runner that left starts again under its id
    What it was said to have left belongs to an earlier start: now it is a
    free runner, and its old group lacks a member for good.

    Given 2 domains of 9 runners serve
    When a "large" replica's head works without an end
    And a member of a "large" replica leaves, and 4 s later listens no more
    And that member starts again
    Then within 1 s it is told to cut

  Scenario: another daemon takes the lead when a member has departed
    The new leader reads a list that lacks the member, and never heard that it
    left. It can't tell this from a death by the list alone, and cuts what the
    head would have finished.

    Given 2 domains of 9 runners serve
    When a "large" replica's head works without an end
    And a member of a "large" replica departs just as another daemon takes the lead
    Then its head is told to let what runs end, before anything is cut
