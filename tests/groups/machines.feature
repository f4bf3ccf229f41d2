Feature: Groups hold their promises under any order of failures
  Three leaders, two domains of five VMs, three groups of two.  Leaders die
  or sleep at any call, orders and answers are late or lost, the platform
  goes away, VMs die, restart and go dark, and operators change the table.

  Scenario Outline: random walks
    When the machine <machine> takes its walks
    Then each promise of groups was looked at

    Examples:
      | machine         |
      | RefusingEngines |
      | IgnoringEngines |
