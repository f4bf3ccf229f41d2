Feature: A task goes on after an error
  Guards against a value of another program that ends the task which follows
  all others, without a word.

  Scenario: a task fails at times
    Given a task that fails in its first 3 steps, each time at the same line
    When it has run until it went on, for 5 s at most
    Then it has gone on after them
    And 1 line is logged, and 3 failures are counted

  Scenario: a task that always fails takes no processor
    Given a task that fails in its first 1000000 steps, each time at the same line
    When it has run for 0.4 s
    Then it has made at most 10 steps
