Feature: A response whose head is cut is no response
  The HTTP library takes the end of a connection for the end of a head.  What
  follows from the rest of it is then missing: the length of the body, and with
  it the body.

  Scenario Outline: <client> reads <answer>, which is <how> at each byte
    Guards against an empty or short response that passes for the whole, and
    against a write that counts as done though its answer was not read.

    Given <client> and a server that answers with <answer>
    When its answer is <how> after each byte but the last
    Then the client reports a failure each time
    And it takes the whole answer for one

    Examples: plain services
      | client              | answer         | how    |
      | a plain GET         | a body         | closed |
      | a plain GET         | a body         | reset  |
      | a plain GET         | an empty body  | closed |
      | a plain GET         | an empty body  | reset  |
      | a plain GET         | no content     | closed |
      | a plain POST        | no content     | closed |
      | a plain POST        | no content     | reset  |
      | a plain POST        | chunks         | closed |
      | a plain HEAD        | a body's head  | closed |
      | a plain HEAD        | a body's head  | reset  |
      | a new plain POST    | an empty body  | closed |

    Examples: engines
      | client              | answer         | how    |
      | a generate request  | an event       | closed |
      | a generate request  | an event       | reset  |
      | a load report       | a load report  | closed |
      | a load report       | a load report  | reset  |
      | an engine's order   | an acceptance  | closed |
      | an engine's order   | an acceptance  | reset  |
      | an engine's holding | a holding      | closed |
      | an engine's load    | an engine load | closed |

    Examples: the platform
      | client              | answer         | how    |
      | a store's read      | a body         | closed |
      | a store's read      | a body         | reset  |
      | a store's read      | an empty body  | closed |
      | a store's long poll | a body         | closed |
      | a store's write     | an empty body  | closed |
      | a store's write     | an empty body  | reset  |
      | a store's write     | a body         | closed |
      | a store's write     | no content     | closed |
      | a runner's order    | an empty body  | closed |
      | a runner's order    | an empty body  | reset  |
      | a runner's report   | a report       | closed |
      | a runner's report   | a report       | reset  |

    Examples: the command line
      | client              | answer         | how    |
      | a daemon's status   | a status       | closed |
      | a daemon's status   | a status       | reset  |

  Scenario Outline: the answer to a write is cut in its head, status <status>
    Guards against a daemon that goes on as if a write had been done, or had
    not, where it can't know.

    Given a store's write and a server that answers with status <status>
    When its answer is closed after each byte but the last
    Then the write may have been done or not, each time

    Examples:
      | status |
      | 200    |
      | 204    |
      | 412    |
      | 503    |
