Feature: The request rate that an upstream names
  An upstream in need names in its answers how many requests a second it takes
  from all daemons together.

  Scenario Outline: an upstream names a rate of <value>
    Guards against a limit that operators can't see, and against values that
    are no rate and break requests or are taken for one.
    Given a daemon in front of a plain runner
    When it names a rate of "<value>" and a caller calls /any/thing
    Then it gets 200 and all of a runner's response
    And the log has one line "<event>", with "<shown>"

    Examples:
      | value                         | event            | shown                     |
      | 1.1                           | upstream limited | 1.1                       |
      | 0                             | upstream limited | 0.0                       |
      | 12                            | upstream limited | 12.0                      |
      |                               | limit unreadable |                           |
      | many                          | limit unreadable | many                      |
      | -1                            | limit unreadable | -1                        |
      | nan                           | limit unreadable | nan                       |
      | 1e999                         | limit unreadable | 1e999                     |
      | 400 digits                    | limit unreadable | 9999999999999999999999999 |
      | Fri, 04 Dec 2026 12:00:00 GMT | limit unreadable | Fri, 04 Dec 2026          |

  Scenario: an upstream names no rate that can be read in each answer
    Guards against a log that fills with the same line.
    Given a daemon in front of a plain runner
    When it names a rate of "many" and a caller calls /any/thing
    And its next answer names the same rate, and a caller calls /any/thing
    Then the log has one line "limit unreadable", with "many"

  Scenario Outline: the next answer of a limited upstream <next>
    Guards against a limit that never ends, or that a mistake ends.
    Given a daemon in front of a plain runner
    When it names a rate of "500" and a caller calls /any/thing
    And its next answer <next>, and a caller calls /any/thing
    Then <count> limits are in force
    And <ends> limits are logged as over

    Examples:
      | next                | count | ends |
      | names no rate       | 0     | 1    |
      | names the same rate | 1     | 0    |
      | names another rate  | 1     | 0    |
      | names an empty rate | 1     | 0    |
      | is a failure        | 1     | 0    |

  Scenario: an answer that was held up comes from before the limit
    Guards against a late answer that ends a limit.
    Given a daemon in front of a plain runner
    When an answer without a rate comes to a request sent before the limit was named
    Then 1 limits are in force

  Scenario: a limited upstream starts again
    Guards against a limit that outlives the process that named it.
    Given a daemon in front of a plain runner
    When it names a rate of "500" and a caller calls /any/thing
    And it starts again
    Then 0 limits are in force

  Scenario Outline: ten requests to <path> when <which> named a rate
    Guards against requests that go to limited upstreams, and against refusals
    that are late or after which there is still no room.
    Given two <kind>, of which both "<way>"
    When <which> named a rate of 1, and ten callers send <path> one after another
    Then at most 1 request reaches each limited upstream
    And <served> callers are served, and the others refused at once
    And whoever was refused is served after the time that it was told

    Examples:
      | kind          | way    | path       | which         | served |
      | plain runners | whole  | /any/thing | the first has | 10     |
      | plain runners | whole  | /any/thing | both have     | 2      |
      | plain runners | whole  | /once/b    | both have     | 2      |
      | heads         | stream | /stream/a  | the first has | 10     |
      | heads         | stream | /stream/a  | both have     | 2      |

  Scenario Outline: a try at <path> <way>, and the other upstream is limited
    Guards against retries and resumed streams that pass the rate.
    Given two <kind>, of which the first "<way>"
    When the second has had its turn at a rate of 0.3, and a caller sends <path>
    Then no request reaches the second

    Examples:
      | kind          | way             | path       |
      | plain runners | closes          | /any/thing |
      | plain runners | turns_away      | /any/thing |
      | heads         | closes          | /stream/a  |
      | heads         | cut_in_an_event | /stream/a  |
      | heads         | rests_at_first  | /stream/a  |

  Scenario: limited upstreams are reached through another daemon
    Guards against relayed requests that pass the rate.
    Given a daemon without links to two upstreams that "whole", and one with links
    When both have named a rate of 0.3, and ten callers send /any/thing one after another
    Then at most 2 requests reach them together

  Scenario: limits turn callers of a team away
    Guards against refusals that operators can't see.
    Given two plain runners, of which both "whole"
    When both have named a rate of 1, and ten callers send /any/thing one after another
    Then the metrics show 8 refusals of team-1 for "limit", and 2 limited upstreams
