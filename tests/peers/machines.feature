Feature: Many members under faults
  Links drop, delay, repeat and cut messages; daemons are killed, paused,
  resumed and restarted under their names, in any order.  Invariants are
  checked inside the program, and over the whole fleet after each event.

  Scenario Outline: <machine> holds its promises
    When the state machine <machine> takes <steps> steps
    Then each of its invariants was checked

    Examples:
      | machine    | steps |
      | Membership | 60    |
      | Spreading  | 60    |
      | Lending    | 60    |
