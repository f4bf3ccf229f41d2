Feature: Many members under faults
  Links drop, delay, repeat and cut messages; daemons die, stop, wake and
  come back under their old names, in any order.  The promises are asserted
  inside the program, and over the whole fleet after each event.

  Scenario Outline: <machine> holds its promises
    When the state machine <machine> takes <steps> steps
    Then each of its promises was looked at

    Examples:
      | machine    | steps |
      | Membership | 60    |
      | Spreading  | 60    |
      | Lending    | 60    |
