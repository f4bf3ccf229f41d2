Feature: The answer to an order is the one to that order
  Answers to orders name no order.  One that was never answered may be carried
  out seconds later, so that its runner is kept out of other groups meanwhile.

  Scenario: a runner answers an order twice, and the next one not at all
    Guards against a runner that is taken for another group while an order to
    it may still be carried out: a late second copy of an answer was taken for
    the answer to the next order on the connection.

    Given a runner that answers its first order twice, and no other
    When it gets two orders, one after the other
    Then the first is accepted, and the second has no answer
