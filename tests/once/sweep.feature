Feature: Rows of keys are deleted when they expire, and never before
  A key without a row runs again.  A wrong clock or a race must not make the
  sweep delete the row of a key before it expires.

  Scenario Outline: a key of 26 hours ago, <what>
    Two daemons record keys.  One sweeps, and a caller repeats an old key.
    The reply shows whether the row still exists.
    Given two daemons
    And a key was used 26 hours ago, <what>
    When the second daemon sweeps, <how>
    Then the reply to the old key is <reply>

    Examples:
      | what                      | how                            | reply  |
      | and not since             | not                            | replay |
      | and not since             | normally                       | answer |
      | and not since             | after one that was killed      | answer |
      | and not since             | with the platform failing once | answer |
      | with a large answer       | normally                       | answer |
      | released and used again   | normally                       | replay |

  Scenario Outline: a key of an hour ago and a sweeper whose clock is <ahead> h ahead
    The sweeper's clock has stepped forward, so the row seems expired.
    Given two daemons
    And a key was used 1 hours ago, and not since
    When the second daemon sweeps with its clock <ahead> hours ahead
    Then the reply to the old key is replay

    Examples:
      | ahead |
      | 0     |
      | 30    |
      | 9000  |
