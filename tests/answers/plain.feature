Feature: A plain service's answer is passed on whole or not at all
  A certificate cut short in the middle reads like a certificate.

  Scenario Outline: a service's connection ends after <sent>
    The service dies, or something in between does, while it sends its
    answer.  The call may have run, so that nothing may say that it did not.
    Given a service that sends <sent> and closes
    When a daemon's client calls it
    Then it gets <result>

    Examples:
      | sent                    | result          |
      | all of its length       | the answer      |
      | half of its length      | broken          |
      | none of its length      | broken          |
      | all of its chunks       | the answer      |
      | half of its chunks      | broken          |
      | half of a chunk         | broken          |
      | no answer               | broken          |
      | half of a head          | broken          |
