Feature: The real program keeps its promises while faults overlap
  Daemons run as processes of their own before a store and runners that
  misbehave; links go silent, are reset or carry one way; processes are killed,
  paused, stopped and started by signals. Callers keep their connections open.
  What callers got is compared with what runners ran.

  Scenario: a short soak
    Given a soak of seed 11 for 30 s with 4 daemons
    When it has run
    Then no promise was broken
    And each promise that holds always was looked at

  Scenario Outline: the ledger finds <mistake>
    A soak that can't fail proves nothing.

    Given a ledger with a request that may run once
    When a runner runs it with <mistake>
    Then the promise "<promise>" is broken

    Examples:
      | mistake          | promise                              |
      | another team     | what runs is what was asked          |
      | another body     | what runs is what was asked          |
      | the caller's key | no key reaches an upstream           |
      | an unknown id    | what runs was asked for              |
      | an earlier run   | what may not repeat runs once        |
      | an earlier 503   | what was said not to run does not    |
      | a later 503      | what was said not to run has not     |
