Feature: Upstreams that say in their answers that they leave
  The platform's list may show them as ready for a while.

  Scenario Outline: an upstream says "<value>" of its leaving
    Guards against a leave that operators can't see, and against values that
    say nothing of it.
    Given a daemon in front of a plain runner
    When it says "<value>" of its leaving and a caller calls /any/thing
    Then it gets 200 and all of a runner's response
    And the log has <lines> lines "<event>", with "<shown>"

    Examples:
      | value      | lines | event              | shown   |
      | 1          | 1     | upstream leaving   | plain-1 |
      | 0          | 1     | leaving unreadable | 0       |
      |            | 1     | leaving unreadable |         |
      | yes        | 1     | leaving unreadable | yes     |
      | -1         | 1     | leaving unreadable | -1      |
      | 1e999      | 1     | leaving unreadable | 1e999   |
      | 400 digits | 1     | leaving unreadable | 9999999 |
