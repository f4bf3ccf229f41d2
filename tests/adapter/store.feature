Feature: The users' store as the product's table service
  It has outages, loses answers, turns some away, and forgets its history.

  Scenario Outline: a conditional write while the store is <trouble>
    Given a store of rows
    And the store is "<trouble>"
    When a row is written that must not exist
    Then the outcome is "<outcome>"

    Examples:
      | trouble | outcome     |
      | well    | Committed   |
      | busy    | Unavailable |
      | many    | Unavailable |
      | lost    | AnswerLost  |

  Scenario: a condition that does not hold shows the row as it is
    Given a store of rows
    When a row is written twice that must not exist
    Then the outcome is "Conflict"

  Scenario: a table larger than a page is read whole
    Given a store of rows
    And 1203 rows of a table
    When the table is read whole
    Then 1203 rows are found

  Scenario: a row of an earlier page goes while a later one is read
    Guards against a removed row that a large table's reading keeps for good.

    Given a store of rows
    And 1203 rows of a table
    And after the first page a row of it goes, and one of it changes
    When the table is read whole
    Then 1202 rows are found
    And they are what the store holds, at its newest revision

  Scenario: a row that was dropped and written again within one answer is there
    A runner that leaves and returns between two calls must not be taken for
    gone.

    Given a store of rows
    And 1 rows of a table
    When the row is dropped and written again
    Then the changes hold the row and drop none

  Scenario: the history is gone
    The table is then read whole, and rows that went meanwhile are dropped.

    Given a store of rows
    And 3 rows of a table
    And the table is followed
    When a row goes and the history is forgotten
    Then the follower holds 2 rows after two more calls

  Scenario: another daemon reads for this one
    Calls are paid for; while another vouches, this one makes none, and when
    the word stops it reads for itself.

    Given a store of rows
    And 3 rows of a table
    And the table is followed
    When another daemon vouches for what is known
    Then the follower makes no call for 0.9 s
    And after that it makes one

  Scenario: a reader whose own call hangs vouches on for a while
    Its word is as old as what it read. A runner that left meanwhile would get
    requests later than two seconds after the store said so.

    Given a store of rows
    And 3 rows of a table
    And the table is followed
    When another daemon goes on vouching for what it read before
    Then the follower makes a call within 1.6 s of that reading

  Scenario: news that came after a gap are not taken for all there is
    Given a store of rows
    And 3 rows of a table
    And the table is followed
    And another daemon vouches for what is known
    When news arrive that begin after what is known
    Then the follower reads for itself at once
