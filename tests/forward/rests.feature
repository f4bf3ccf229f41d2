Feature: The rest that an upstream asks for
  An upstream in need turns a request away with 503, and says in Retry-After
  for how long it wants no other one.

  Scenario Outline: an upstream turns a request away, Retry-After <value>
    Guards against a rest that operators can't see, and against values that
    are no time and break requests or are taken for one.
    Given two plain runners, of which the first "asks_for_rest"
    When it asks for a rest of "<value>" and a caller calls /any/thing
    Then it gets 200 and all of a runner's response
    And the log has <lines> lines "<event>", with "<shown>"

    Examples:
      | value                         | lines | event           | shown                     |
      | 3                             | 1     | upstream rests  | 3000                      |
      | 2.1                           | 1     | upstream rests  | 2100                      |
      | 0                             | 0     | upstream rests  |                           |
      |                               | 1     | rest unreadable |                           |
      | soon                          | 1     | rest unreadable | soon                      |
      | -1                            | 1     | rest unreadable | -1                        |
      | nan                           | 1     | rest unreadable | nan                       |
      | 1e999                         | 1     | rest unreadable | 1e999                     |
      | 400 digits                    | 1     | rest unreadable | 9999999999999999999999999 |
      | Fri, 04 Dec 2026 12:00:00 GMT | 1     | rest unreadable | Fri, 04 Dec 2026          |
