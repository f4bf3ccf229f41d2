Feature: Few daemons call the platform, and none uses outdated rows
  If each of 82 daemons calls for every change of two tables, their startup
  costs 8,000 calls in half a minute, each paid for, all with the same
  responses.

  Scenario: no confirmation reaches a daemon that is no reader
    It calls now and then, without waiting for changes, and relies on no row
    for longer than a departed runner may still get requests.

    Given a daemon that follows a table and is no reader for others
    When 10 s pass without a confirmation
    Then it has made at most 8 calls
    And no confirmation in use was older than 1700 ms

  Scenario: a confirmation arrives every second
    Given a daemon that follows a table and is no reader for others
    When 10 s pass with a confirmation every second
    Then it has made at most 2 calls

  Scenario: a reader's confirmation expires for all daemons at once
    The other daemons wait briefly for the next confirmation, so that only the
    reader calls the platform.

    Given a daemon that follows a table and is no reader for others
    When 10 s pass with a confirmation every 1600 ms
    Then it has made at most 2 calls
    And no confirmation in use was older than 1700 ms

  Scenario: the leader dies and a coordinator takes over as reader
    Its first call asks whether there was any change and must not wait for
    one: its rows are 1.5 s old by then.

    Given a daemon that follows a table by another daemon's confirmations
    When the confirmations stop and it becomes the reader for others
    Then its first call does not wait, and the following ones do

  Scenario: changes of other tables raise the platform's counter
    Each renewal of the leader lease raises it. If daemons take that for a
    change of their own table, each of them calls the platform once a second.

    Given a daemon that follows a table and is no reader for others
    When for 10 s a higher counter is confirmed every second
    Then it has made at most 0 calls

  Scenario Outline: the next confirmation shows that an update was lost, <with>
    A reader that has a change which did not arrive has other rows, too; one
    of an older release sends no digest of them.

    Given a daemon that follows a table and is no reader for others
    When a confirmation names a change that did not arrive, <with>
    Then it has made at most 1 calls
    And it has made at least 1 calls

    Examples:
      | with           |
      | another digest |
      | no digest      |

  Scenario: a reader that has just started confirms the same rows
    Guards against a call by each daemon after a change of the reader: one
    that has read all rows knows no revision of the last change but that of
    its read.

    Given a daemon that follows a table and is no reader for others
    When a confirmation names a later change and the same rows
    Then it has made at most 0 calls

  Scenario: a coordinator becomes the reader right after a confirmation
    Guards against a first call that waits for changes while the confirmations
    of all daemons of its data centre expire.

    Given a daemon that follows a table by another daemon's confirmations
    When it becomes the reader for others 650 ms after the last confirmation
    Then its first call does not wait
    And that call begins within 60 ms

  Scenario: a daemon that starts gets the rows from another daemon
    Guards against a start that reads all rows once for each daemon.

    Given a daemon that starts and expects the rows from others for 400 ms
    When another daemon sends them after 150 ms and confirms them
    Then it has made at most 0 calls
    And it knows the rows

  Scenario: a daemon that starts gets no rows from others
    Guards against a daemon that waits for daemons that are not there.

    Given a daemon that starts and expects the rows from others for 400 ms
    When 500 ms pass without any message
    Then it has made at least 1 calls
    And it knows the rows

  Scenario: a daemon that starts misses a change after it got the rows
    Guards against rows that are used for long without a confirmation.

    Given a daemon that starts and expects the rows from others for 4000 ms
    When another daemon sends them after 150 ms and confirms them
    And a confirmation names a change that did not arrive, another digest
    And 4000 ms pass without any message
    Then it has made at least 1 calls
    And no confirmation in use was older than 1700 ms

  Scenario: a daemon takes the lead right after a confirmation
    Guards against a leader that plans by an old list: it relied for up to
    1.5 s on what its predecessor had confirmed, while nobody told it changes.

    Given a daemon that follows a table by another daemon's confirmations
    When it takes the lead and reads up to its lease
    Then its next call begins within 100 ms
