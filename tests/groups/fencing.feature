Feature: An order that arrives late never makes a half group
  Some engines refuse an order with an old fencing number; others take any.

  Scenario Outline: a holder is paused past its lease, and its order is late
    The first holder's order is on its way when the process stops.  The next
    holder forms the group anew, under a higher fence, and it serves.  Then
    the old order arrives.  A refusing engine says no; an ignoring one takes
    it, the next read-back shows it, and the group closes until it is mended.
    Given a group whose first order is late, of engines that <fence> it
    When its holder is paused, and another makes the group serve
    And the late order arrives
    Then routing <routing> within 1000 ms
    And the group serves as declared within 30000 ms

    Examples:
      | fence  | routing          |
      | refuse | keeps the group  |
      | ignore | loses the group  |

  Scenario Outline: a new holder waits for orders that may be in flight
    The first holder dies with an order on its way.  Engines that refuse it
    can be given new orders at once; for the others the new holder waits.
    Given a group whose first order is late, of engines that <fence> it
    When its holder dies
    Then another orders no sooner than <wait> ms after taking the lease

    Examples:
      | fence  | wait |
      | refuse | 0    |
      | ignore | 3000 |

  Scenario Outline: a repeated order whose first copy is late
    An order gets no answer, is repeated and taken, and the group could
    serve.  Its first copy arrives within the bound and empties the engine.
    Routing must not have been given the group before that.
    Given a group whose first order is late, of engines that <fence> it
    When the late order arrives after 2000 ms and empties the engine
    Then no half group was routed to for a moment
    And the group serves as declared within 30000 ms

    Examples:
      | fence  |
      | refuse |
      | ignore |

  Scenario: a VM given back while silent returns with its old group
    It was replaced while it could not be reached, and still holds the old
    group under the old fence.  It is emptied before it is spare again.
    Given a group whose first order is late, of engines that refuse it
    When a VM of the group is dark until a spare has its place
    Then it is emptied and spare within 5000 ms
