Feature: Operators see what a data centre sends to others

  Scenario: an excess that lasts
    Guards against a log that grows with requests, and against requests that
    neither the log nor the metrics tell of.

    Given a daemon that reports its excess each second
    When it sends 3 requests a second to "b" for 25 s
    Then the log tells of 3, 30 and 30 requests to "b"
    And the metrics tell of 75 requests to "b"

  Scenario Outline: a daemon with <features>
    Guards against a switch that an operator sets and that changes nothing.

    When a daemon with <features> is made
    Then its choice of upstreams is <choice>

    Examples:
      | features               | choice           |
      | no features            | UpstreamChoice   |
      | local_rooms            | UpstreamChoice   |
      | even_load              | EvenChoice       |
      | even_load, local_rooms | DatacentreChoice |
