Feature: Bytes without end hold up no daemon
  A broken upstream sends until its connection is closed. Memory and processor
  time that a daemon spends on it are bounded.

  Scenario Outline: a plain runner sends <what> without end
    Guards against a request that reads until its deadline, or until memory
    runs out, while another upstream could answer.
    Given two plain runners, of which the first "<way>"
    When a caller calls /any/thing
    Then it gets 200 with the complete body of a runner
    And that took at most 1.0 s

    Examples:
      | what                              | way                        |
      | a head                            | endless_head               |
      | heads of preliminary answers      | endless_preliminary        |
      | answers to other requests         | endless_others             |
      | a body                            | endless_body               |
      | a body without a length           | endless_unframed           |
      | the size of a chunk               | endless_chunk_size         |
      | trailers                          | endless_trailers           |
      | the body of a failure             | endless_failure            |
      | the body of a rejection           | endless_rejection          |

  Scenario Outline: a head sends <what> without end in its stream
    Guards against a stream whose buffered part grows, and is copied again
    with each piece.
    Given two heads, of which the first "<way>"
    When a caller asks for a stream
    Then it gets 6 events in order and a proper end
    And that took at most 1.5 s

    Examples:
      | what                    | way                   |
      | an event                | endless_event         |
      | an event, after three   | three_then_endless    |
      | carriage returns        | endless_returns       |

  Scenario: others are served while bytes come without end
    Guards against a task that always finds more to read and lets no other
    one run.
    Given two plain runners, of which the first "endless_events_for_a_second"
    When a caller calls /any/thing while 10 others call at the second runner
    Then the others are answered within 0.4 s each

  Scenario Outline: <pieces> pieces of <size> bytes without a blank line
    Guards against processor time that grows with the square of the bytes.
    When a stream of <pieces> pieces of <size> bytes without a blank line is split
    Then it is refused after at most 1100000 bytes
    And that took at most 0.3 s of processor time

    Examples:
      | pieces | size  |
      | 2000   | 16384 |
      | 400000 | 10    |

  Scenario: many bodies are buffered at the same time
    Guards against bodies that are each within the limit and take all memory
    together.
    Given space for 1000 bytes of bodies
    When 3 bodies of 400 bytes are buffered at the same time
    Then the third one is refused
    And it is buffered once the first one has ended
