Feature: Invariants of groups hold under random failures
  Three leaders, two domains of five VMs, three groups of two.  Leaders die
  or are paused at any call, orders and answers are late or lost, the
  platform is down, VMs die, restart and become unreachable, and the
  declaration changes.

  Scenario Outline: random walks
    When the state machine <machine> is run
    Then each invariant of groups was checked

    Examples:
      | machine         |
      | RefusingEngines |
      | IgnoringEngines |
