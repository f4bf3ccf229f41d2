Feature: The users' store as the product's table service
  The store has outages, loses responses, rejects calls and truncates its
  history.

  Scenario Outline: a conditional write while the store is <trouble>
    Given a store of rows
    And the store is "<trouble>"
    When a row is inserted on condition that it does not exist
    Then the outcome is "<outcome>"

    Examples:
      | trouble | outcome     |
      | well    | Committed   |
      | busy    | Unavailable |
      | many    | Unavailable |
      | lost    | AnswerLost  |

  Scenario: a failed condition returns the present row
    Given a store of rows
    When the same row is inserted twice on that condition
    Then the outcome is "Conflict"

  Scenario: a table larger than a page is read completely
    Given a store of rows
    And 1203 rows of a table
    When all rows of the table are read
    Then 1203 rows are found

  Scenario: a row of an earlier page is removed while a later one is read
    Guards against keeping the removed row when a table has several pages.

    Given a store of rows
    And 1203 rows of a table
    And after the first page one of its rows is removed and one changes
    When all rows of the table are read
    Then 1202 rows are found
    And they are the rows of the store at its newest revision

  Scenario: a row is removed and written again within one response
    Guards against treating a runner as removed that leaves and returns between
    two calls.

    Given a store of rows
    And 1 rows of a table
    When the row is removed and written again
    Then the changes contain the row and no removal

  Scenario: the store has truncated its history
    Guards against keeping rows that were removed in the truncated part: the
    follower reads all rows again.

    Given a store of rows
    And 3 rows of a table
    And the table is followed
    When a row is removed and the history is truncated
    Then the follower holds 2 rows after two more calls

  Scenario: another daemon confirms the table
    Calls to the store are charged. The follower makes none while another
    daemon confirms its rows, and reads again when confirmations stop.

    Given a store of rows
    And 3 rows of a table
    And the table is followed
    When another daemon confirms the held rows
    Then the follower makes no call for 0.9 s
    And after that it makes a call

  Scenario: a reader whose own call hangs vouches on for a while
    A confirmation is as old as the read behind it. Guards against trusting it
    for too long: a runner that left would get requests later than two seconds
    after the store reported it.

    Given a store of rows
    And 3 rows of a table
    And the table is followed
    When another daemon keeps confirming an earlier read
    Then the follower makes a call within 1.6 s of that read

  Scenario: an update after a gap is not applied
    Given a store of rows
    And 3 rows of a table
    And the table is followed
    And another daemon confirms the held rows
    When an update arrives that begins after the held revision
    Then the follower reads from the store at once
