Feature: A daemon that starts gets its tables from other daemons
  Only two daemons of a data centre read the store for the others there.

  Scenario Outline: <what> of <count> daemons, none of which has the tables
    Guards against callers that wait after the loss of all power, since each
    daemon expects the tables of another one.

    Given a <what> of a daemon that ranks <rank> of <count> in its data centre
    When 240 ms pass without an answer
    Then it <does>

    Examples:
      | what        | rank | count | does                           |
      | restart     | 1    | 12    | reads the tables for itself    |
      | restart     | 2    | 12    | reads the tables for itself    |
      | restart     | 3    | 12    | goes on asking the first two   |
      | first start | 1    | 12    | goes on asking the first two   |
      | restart     | 1    | 1     | reads the tables for itself    |
