Feature: Service quality under load
  Six daemons in three data centres send requests to simulated upstreams with
  slots, service times, ramps and delayed reports.  Callers do not retry, so
  that only an answer in time or an immediate rejection is useful to them.

  Scenario Outline: on-time answers and fairness under <load>
    When callers send the load "<load>" to the dispatcher
    Then at least <on_time> of the requests are answered completely and on time
    And the goodput is at least <goodput> of the capacity
    And at least <light> of the light teams' requests are on time
    And at most 0.01 of the accepted requests finish late
    And the invariants were checked and held

    Examples:
      | load                        | on_time | goodput | light |
      | steady at 0.7               | 0.99    | 0.69    | 0.99  |
      | burst of 10x for 5 s        | 0.50    | 0.50    | 0.50  |
      | one team sends 80%          | 0.80    | 0.90    | 0.97  |
      | one team sends 8x its share | 0.60    | 0.90    | 0.95  |
      | long and short at 0.9       | 0.90    | 0.85    | 0.90  |
      | saturation 2x               | 0.43    | 0.90    | 0.43  |
      | saturation 4x               | 0.21    | 0.90    | 0.21  |
      | lag 0 s at 0.9              | 0.95    | 0.87    | 0.95  |
      | lag 1 s at 0.9              | 0.95    | 0.87    | 0.95  |
      | lag 3 s at 0.9              | 0.95    | 0.87    | 0.95  |

  Scenario Outline: <load> is better for callers than the plain way
    The baseline places requests at random, queues them first in, first out,
    rejects none and retries without a limit.

    When callers send the load "<load>" to the dispatcher
    And callers send the load "<load>" to the baseline
    Then the dispatcher answers more on time, by at least <more>

    Examples:
      | load                        | more |
      | burst of 10x for 5 s        | 0.15 |
      | one upstream 10x slow       | 0.03 |
      | long and short at 0.9       | 0.10 |
      | saturation 2x               | 0.40 |
