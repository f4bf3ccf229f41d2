Feature: A daemon that stood still reads the list before it sends requests
  Replicas change meanwhile, and their runners run what they are sent.

  Scenario Outline: a daemon stands still for <pause> s while <what>
    Guards against a request for a model that runs at a replica of another
    one, since the daemon sends it by the list from before its pause.
    Given two heads, of which the list has the first, and both "stream"
    When the daemon stands still for <pause> s while <what>, and a caller asks for a stream
    Then it gets 200, and the <which> head alone has run it in <limit> s

    Examples:
      | pause | what                                         | which  | limit |
      | 0.6   | the list changes to the second               | second | 0.5   |
      | 0.6   | it changes, and reading it takes 0.3 s       | second | 0.8   |
      | 0.6   | it changes, and reading it takes 3 s         | first  | 1.5   |
      | 0.6   | the list can't be read                       | first  | 0.5   |
      | 0.1   | the list changes to the second               | first  | 0.5   |

  Scenario: many requests wait for one read of the list
    Guards against a store that each request of a daemon reads after a pause.
    Given two heads, of which the list has the first, and both "stream"
    When the daemon stands still for 0.6 s, and 5 callers ask for a stream at once
    Then the list was read once
