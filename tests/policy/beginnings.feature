Feature: Beginnings of prompts that crash upstreams are found at the own interface
  In the events, each of which comes 100 ms after the one before, "a1:FP" is a
  loss of upstream a1 with a prompt of the beginnings F and P, "?a1:P" a broken
  connection to it, "!a1" its restart and "+a1" its report, "p:F" an answer on
  F, and "r1:P" a loss of upstream r1 that a peer reports; "=" before an event
  lets it come at once.

  Scenario Outline: <case>
    Guards against upstreams that crash one after the other, and against the
    refusal of prompts that share a beginning with what crashed.
    Given a daemon with the events "<events>"
    Then prompts of "<refused>" are refused, and of "<served>" not

    Examples:
      | case                                     | events                                  | refused | served |
      | four upstreams are lost                  | a1:Fx a2:Fy p:F a3:Fx a4:Fy p:F         |         | F x y  |
      | one of two beginnings is in all of them  | p:F a1:FP a2:FP p:F a3:FP a4:FP         | P FP    | F      |
      | retries crash the next one at once       | p:F a1:FP =a2:FP a3:FP =a4:FP           | P FP    | F      |
      | one upstream is lost again and again     | a1:P a1:P a1:P a1:P a1:P                |         | P      |
      | it was answered in between               | a1:P a2:P p:P a3:P a4:P                 |         | P      |
      | upstreams of an answered one are lost at once | p:F a1:F =a2:F =a3:F =a4:F         |         | F      |
      | peers report it                          | r1:P r2:P a3:P a4:P                     | P       |        |
      | only peers report it, and it is answered | r1:P r2:P r3:P r4:P p:P                 |         | P      |
      | connections broke, and nothing was lost  | ?a1:P ?a2:P ?a3:P ?a4:P +a1 +a2 +a3 +a4 |         | P      |
      | connections broke with lost upstreams    | ?a1:P !a1 ?a2:P !a2 ?a3:P !a3 ?a4:P !a4 | P       |        |

  Scenario: a beginning that is refused is tried
    Guards against a beginning that stays refused at a daemon that only knows
    it from its peers.
    Given a daemon with the events "r1:P r2:P r3:P r4:P"
    When 30 s have passed
    Then one prompt of "P" is let through, and the next one is refused

  Scenario Outline: peers are told of <told> losses after "<events>"
    Guards against reports of all that ran on a lost upstream.
    Given a daemon with the events "<events>"
    Then peers are told of <told> losses of beginnings

    Examples:
      | events         | told |
      | a1:FP          | 0    |
      | a1:FP a2:P     | 2    |
      | a1:P a2:P p:P  | 0    |
