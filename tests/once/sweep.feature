Feature: Rows of keys go when their time is over, and never before
  A key whose row is gone runs again.  The sweep must not delete a row that
  still stands for a certificate, by a wrong clock or a race.

  Scenario Outline: a key of 26 hours ago, <what>
    Two daemons have taken keys all along.  One sweeps, and a caller sends
    an old key again.  What it is told shows whether the row was there.
    Given two daemons
    And a key was used 26 hours ago, <what>
    When the second sweeps, <how>
    Then the old key is told <told>

    Examples:
      | what                      | how                            | told   |
      | and not since             | not                            | replay |
      | and not since             | rightly                        | answer |
      | and not since             | after one that was killed      | answer |
      | and not since             | with the platform failing once | answer |
      | with a large answer       | rightly                        | answer |
      | given back and used again | rightly                        | replay |

  Scenario Outline: a key of an hour ago and a sweeper whose clock is <ahead> h ahead
    The sweeper's clock has stepped.  By its time the row is long over.
    Given two daemons
    And a key was used 1 hours ago, and not since
    When the second sweeps with its clock <ahead> hours ahead
    Then the old key is told replay

    Examples:
      | ahead |
      | 0     |
      | 30    |
      | 9000  |
