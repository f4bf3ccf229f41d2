Feature: Late orders never leave an incomplete group in service
  Some engines refuse orders with an outdated fencing token, others accept
  any order.

  Scenario Outline: a leader is paused past its lease and its order is late
    The leader is paused while its order is in flight.  The next leader forms
    the group again with a higher fence, and it serves when the old order
    arrives.  Engines that check fences refuse it.  Others accept it; the
    next read-back shows that, and the group closes until it is repaired.
    Given a group whose first order is late, on engines that <fence> old orders
    When the leader is paused and another one forms the serving group
    And the late order arrives
    Then routing <routing> within 1000 ms
    And the group serves as declared within 30000 ms

    Examples:
      | fence  | routing          |
      | refuse | keeps the group  |
      | ignore | drops the group  |

  Scenario Outline: a new leader waits for orders that may be in flight
    The leader dies with an order in flight.  Engines that refuse the late
    order can receive new ones at once; for others the new leader waits.
    Given a group whose first order is late, on engines that <fence> old orders
    When the leader dies
    Then another sends orders no sooner than <wait> ms after it acquires the lease

    Examples:
      | fence  | wait |
      | refuse | 0    |
      | ignore | 3000 |

  Scenario Outline: a repeated order whose first copy is late
    An order gets no answer, is repeated and accepted, and the group could
    serve.  The first copy then arrives, within the time limit, and clears
    the engine.  The group must not be routed to before that.
    Given a group whose first order is late, on engines that <fence> old orders
    When the late order arrives after 2000 ms and clears the engine
    Then no incomplete group was ever in routing
    And the group serves as declared within 30000 ms

    Examples:
      | fence  |
      | refuse |
      | ignore |

  Scenario: a VM released while unreachable returns with its old group
    It was replaced while unreachable, and still holds the old group with the
    old fence.  It must be cleared before it counts as free.
    Given a group whose first order is late, on engines that refuse old orders
    When a VM of the group is unreachable until a spare replaces it
    Then it is cleared and free within 5000 ms
