Feature: The answer to an order to an engine is the one to that order
  Answers name the fence of the VM, and no order.

  Scenario: an engine answers an order twice, and the next one not at all
    Guards against an order that counts as answered while it may still be
    carried out: a late second copy of an answer was taken for the answer to
    the next order on the connection.
    Given an engine that refuses its first order twice, and answers no other
    When it gets two orders, one after the other
    Then the first is refused, and the answer to the second is lost
