Feature: Upstreams that say in their answers that they leave
  The platform's list may show them as ready for a while.

  Scenario Outline: an upstream says "<value>" of its leaving
    Guards against a leave that operators can't see, and against values that
    say nothing of it.
    Given a daemon in front of a plain runner
    When it says "<value>" of its leaving and a caller calls /any/thing
    Then it gets 200 and all of a runner's response
    And the log has <lines> lines "<event>", with "<shown>"

    Examples:
      | value      | lines | event              | shown   |
      | 1          | 1     | upstream leaving   | plain-1 |
      | 0          | 1     | leaving unreadable | 0       |
      |            | 1     | leaving unreadable |         |
      | yes        | 1     | leaving unreadable | yes     |
      | -1         | 1     | leaving unreadable | -1      |
      | 1e999      | 1     | leaving unreadable | 1e999   |
      | 400 digits | 1     | leaving unreadable | 9999999 |

  Scenario Outline: ten requests to <path> after <which> said that it leaves
    Guards against requests to upstreams that are about to go and that the list
    shows as ready.
    Given two <kind>, of which both "<way>"
    When <which> said that it leaves, and ten callers send <path>
    Then no request reaches an upstream that leaves
    And <served> callers are served, and the others refused at once

    Examples:
      | kind          | way    | path       | which         | served |
      | plain runners | whole  | /any/thing | the first has | 10     |
      | plain runners | whole  | /any/thing | both have     | 0      |
      | plain runners | whole  | /once/b    | both have     | 0      |
      | heads         | stream | /stream/a  | the first has | 10     |
      | heads         | stream | /stream/a  | both have     | 0      |

  Scenario Outline: a try at <path> <way>, and the other upstream leaves
    Guards against retries and resumed streams at an upstream that leaves.
    Given two <kind>, of which the first "<way>"
    When the second has said that it leaves, and a caller sends <path>
    Then no request reaches the second

    Examples:
      | kind          | way             | path       |
      | plain runners | closes          | /any/thing |
      | heads         | cut_in_an_event | /stream/a  |
      | heads         | rests_at_first  | /stream/a  |

  Scenario Outline: the list <what> after an upstream said that it leaves
    Guards against a leave that the next entry of the list undoes, and against
    one that outlives the process that said it.
    Given a daemon in front of a plain runner
    When it has said that it leaves, and the list <what>
    Then <count> upstreams are in service

    Examples:
      | what                           | count |
      | shows it as ready again        | 0     |
      | loses it and shows it again    | 0     |
      | shows it with another start    | 1     |
      | takes its data centre in again | 0     |

  Scenario: a daemon relays to an upstream that another one saw leave
    Guards against a daemon that relays to an upstream that leaves.
    Given a daemon without links to two upstreams that "whole", and one with links
    When its relay learns that both leave
    Then the relay relays to neither
