Feature: Daemons share the request rate that an upstream has named
  Each of many daemons sends one request at its turn, so that the sum stays
  within the rate without a message for each request.

  Scenario Outline: <daemons> daemons in <places> data centres, <rate> a second, <trouble>
    Guards against daemons that pass the rate together though each keeps to it,
    or that send a limited upstream nothing. One and a half times the rate and
    5 requests are allowed in any 4 s.
    Given <daemons> daemons in <places> data centres with <demand> requests a second each
    When an upstream names a rate of <rate> a second for 90 s, <trouble>
    Then it gets no more than allowed in any 4 s
    And it gets at least <least> times its rate

    Examples:
      | daemons | places | demand | rate | trouble                       | least |
      | 1       | 1      | 20     | 1.1  | and nothing else happens      | 0.8   |
      | 8       | 3      | 10     | 1.1  | and nothing else happens      | 0.8   |
      | 8       | 3      | 10     | 0.3  | and nothing else happens      | 0.8   |
      | 8       | 3      | 10     | 0.02 | and nothing else happens      | 0.8   |
      | 8       | 3      | 10     | 0    | and nothing else happens      | 0.8   |
      | 8       | 3      | 10     | 12.5 | and nothing else happens      | 0.5   |
      | 8       | 3      | 1      | 1    | and nothing else happens      | 0.5   |
      | 61      | 3      | 4      | 1    | and nothing else happens      | 0.5   |
      | 61      | 3      | 4      | 20   | and nothing else happens      | 0.5   |
      | 1600    | 31     | 16     | 5    | and nothing else happens      | 0.8   |
      | 8       | 1      | 10     | 1.1  | and they learn it 1 s apart   | 0.8   |
      | 61      | 1      | 4      | 1    | and they learn it 1 s apart   | 0.5   |
      | 8       | 1      | 10     | 1.1  | and half of them have no work | 0.4   |
      | 8       | 3      | 10     | 1.1  | and its data centre's have no work | 0.2 |
      | 8       | 1      | 10     | 1.1  | and they start again in turn  | 0.5   |
      | 8       | 1      | 10     | 1    | and the rate changes in each answer | 0.5 |
      | 8       | 1      | 10     | 1.1  | and all are silent for 20 s   | 0.5   |
