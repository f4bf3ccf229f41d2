Feature: More callers connect than a daemon has room for
  A balancer hands most new connections to one daemon for some seconds.

  Scenario: the connections that are open are idle
    Guards against a daemon that has no descriptor left for a new caller, or
    for an upstream, while callers keep connections that they do not use.
    Given a daemon with room for 20 connections, all of them open and idle
    When 60 callers connect one after the other and send a request each
    Then each gets a whole answer
    And at most 20 connections were open

  Scenario: the connections that are open are busy
    Guards against an answer that is cut to make room for another caller.
    Given a daemon with room for 20 connections, all of them busy
    When a caller connects and sends a request
    Then its connection is closed and its request has not run
    And the 20 callers get whole answers

  Scenario: a connection breaks as it is accepted
    Guards against a port that accepts nothing any more, since one peer has
    closed before its socket was set up.
    Given a port whose first connection refuses its options
    When two callers connect
    Then the first is closed, and the second is served
    And one line tells that a connection was not accepted
