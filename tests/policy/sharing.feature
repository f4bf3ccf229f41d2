Feature: Daemons that disagree on whether an upstream is cold

  Scenario Outline: one of <daemons> daemons takes an upstream for cold
    Guards against a daemon that rejects all its requests during a whole
    ramp: it sees the upstream as cold and needs a loan, while the
    coordinator sees it as warm and lends nothing.

    Given <daemons> daemons that share an upstream of 4 slots
    When its service times jump for a daemon that is not its coordinator
    Then within 2 s that daemon may use the upstream
    And all daemons together never use more than 4 of its slots

    Examples:
      | daemons |
      | 2       |
      | 3       |
