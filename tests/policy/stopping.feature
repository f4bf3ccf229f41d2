Feature: A daemon that stops leaves time for what it has taken

  Scenario Outline: the daemon is killed <grace> ms after the request to stop
    Guards against requests that are taken so late that the process ends before
    they do: with a short grace connections were accepted until its end.

    When a daemon with a grace of <grace> ms is asked to stop
    Then it listens for <listens>, takes requests for <takes>, and ends after <ends> ms

    Examples:
      | grace  | listens | takes | ends   |
      | 60_000 | 2700    | 3000  | 59_700 |
      | 8_000  | 2700    | 3000  | 7_700  |
      | 4_000  | 1550    | 1850  | 3_700  |
      | 2_000  | 600     | 900   | 1_800  |
      | 500    | 0       | 225   | 450    |
      | 0      | 0       | 0     | 0      |
