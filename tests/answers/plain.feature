Feature: A plain service's response is relayed whole or not at all
  A truncated certificate looks like a complete one.

  Scenario Outline: a service closes the connection after <sent>
    The service or an intermediary fails while the response is sent.  The
    request may have run, so the result must not say that it did not.
    Given a service that sends <sent> and closes
    When the client sends it a request
    Then it gets <result>

    Examples:
      | sent                    | result          |
      | all of its length       | the response    |
      | half of its length      | broken          |
      | none of its length      | broken          |
      | all of its chunks       | the response    |
      | half of its chunks      | broken          |
      | half of a chunk         | broken          |
      | no response             | broken          |
      | half of its header      | broken          |
