Feature: Contents of requests that crash upstreams are found
  A lost upstream takes down all requests that it ran. In the events, each of
  which comes 100 ms after the one before, "x1:FPa+Gb" is the loss of start 1
  with a request of the contents F, P and a that it had begun to answer, and
  with one of G and b that waited; a small letter is the whole request, "~a" one
  whose beginning the upstream had survived; "=" before an event lets it come at once;
  "t:900" lets 900 ms pass; "n:30" makes it a fleet of 30 upstreams and not of 8; "p:F" is an answer on F; "/s" behind it names a model other than "l".

  Scenario Outline: <case>
    Guards against upstreams that crash one after the other, and against the
    refusal of requests that only ran beside one that crashes them.
    Given losses and proofs "<events>"
    Then requests of "<refused>" are refused, and of "<served>" not

    Examples:
      | case                                      | events                                          | refused  | served      |
      | four losses with a part                   | x1:FPa x2:FPb x3:FPc x4:FPd p:F                 | FPz Pz   | Fz Fa z     |
      | three losses with a part                  | x1:FPa x2:FPb x3:FPc p:F                        |          | FPz         |
      | the part was not cleared by an older one  | p:P x1:FPa x2:FPb x3:FPc x4:FPd p:F             | FPz      | Fz          |
      | the part was answered                     | x1:FPa x2:FPb x3:FPc x4:FPd p:P                 |          | Pz          |
      | the part was answered in between          | x1:Pa x2:Pb p:P x3:Pc x4:Pd x5:Pe               |          | Pz          |
      | it crashes upstreams after an answer      | x1:Pa x2:Pb p:P x3:Pc x4:Pd x5:Pe x6:Pf         | Pz       | z           |
      | one start is lost with many requests      | x1:Pa x1:Pb x1:Pc x1:Pd x1:Pe                   |          | Pz          |
      | four upstreams are lost together          | x1:Pa =x2:Pb =x3:Pc =x4:Pd                      |          | Pz          |
      | one request is sent again and again       | x1:w x2:w x3:w                                  | w        | z           |
      | one request is repeated at once           | x1:Pw+Fa =x2:Pw+Gb =x3:Pw+Fc                    | w        | z Fz        |
      | two parts are always lost together        | x1:FPa x2:FPb x3:FPc x4:FPd                     | FPz      | Fz Pz       |
      | one of two parts is lost without the other | x1:FPa x2:FPb x3:FPc x4:FPd x5:Pe              | FPz      | Fz          |
      | parts with the same first part            | x1:FPa x2:FQb x3:FPc x4:FQd x5:FPe x6:FQf x7:FPg x8:FQh | FPz FQz | Fz |
      | sound requests wait beside the crashing one | x1:Pa+Gx x2:Pb+Gy x3:Pc+Gx x4:Pd+Gy           | Pz PGz   | Gz          |
      | requests wait and none had begun          | x1:+Pa+Gb x2:+Pc+Gd x3:+Pe x4:+Pf               | Pz       | Gz          |
      | a part of one model's upstreams           | x1:Pa x2:Pb x3:Pc x4:Pd p:P/s                   | Pz       | Pz/s        |
      | a part of all models' upstreams           | x1:Pa x2:Pb/s x3:Pc x4:Pd/s                     | Pz Pz/s  | z z/s       |
      | a sound part while one model is out       | x1:Pa x2:Pb p:P x3:Pc x4:Pd p:P x5:Pe           |          | Pz/s        |
      | crashes by chance                         | x1:Fa x2:Gb p:F x3:Fc p:G x4:Fd p:F x5:Ge       |          | Fz Gz       |

    Examples: the crashing request writes no head, or its neighbours are tried again beside it
      | case                                      | events                                          | refused  | served      |
      | its own second try is lost as well        | x1:FPa x2:FPa x3:FPb x4:FPb p:F                 | FPz Pz   | Fz          |
      | neighbours that had begun are tried again | x1:Gw+FPa x2:Gw+FPa x3:Hv+FPb x4:Hv+FPb         | FPz      | Fz Gz Hz    |
      | a sound part is always beside it          | x1:Ga+Pb p:G x2:Gc+Pd x3:Ge+Pf x4:Gg+Ph x5:Gi+Pj x6:Gk+Pl | Pz | Gz     |
      | a sound part waits beside it, and is lost once without it | x1:Pa+Gx x2:Pb+Gy x3:Pc+Gx x4:Pd+Gy x5:Gv | PGz | Gz      |
      | two such parts share a sound one          | x1:Fg+FPa p:F x2:Fh+FPb x3:Fi+FQc x4:Fj+FPd x5:Fk+FQe x6:Fl+FQm x7:Fn+FPo x8:Fp+FQr | FPz FQz Pz Qz | Fz |
      | one part, in a soak of seed 31            | x1:FPaDd x2:FPaDd x3:FPbEGe x4:FPbEGe p:DEF x5:FPcG | FPz Pz | Fz Dz Ez Gz |
      | a request is lost three times by chance   | x1:wvF x2:wuvF p:F x3:wuG                      |          | w Fw |
      | a sound part is lost three times, twice beside it | x1:FPaG x2:FPaG p:F x3:HbG x4:FPc x5:FPd | FPz Pz | Fz Gz Hz |
      | one of two parts, in a soak of seed 32    | x1:FPBakl x2:FQBCcdefgh x3:FQBCcdefgh x4:FPBakl p:BCF x5:FQCijm x6:FQCijmnor | FQz Qz | Fz Bz Cz FBz |
      | both of them, lost together later on      | x1:FPBakl x2:FQBCcdefgh x3:FQBCcdefgh x4:FPBakl p:BCF x5:FQCijm x6:FQCijmnor x7:FPQst x8:FPQstu+C x9:FPQvxy | FPz Pz FQz Qz | Fz Bz Cz |

    Examples: a whole request comes again by itself
      | case                                          | events                                               | refused | served |
      | its neighbour was lost twice beside it, and never came again | x1:v+w x2:v+w t:1000 x3:w             | w       | v z    |
      | new neighbours are lost twice each            | x1:v+w x2:vu+w x3:u+w t:1000                         | w       | u v z  |
      | neighbours that were just lost are tried again | x1:v+w x2:vu+w x3:u+w                               |         | u v w z |
      | a neighbour was lost with the first three     | x1:v+w x2:v+w x3:v+w t:1000 x4:w                     | w       | z      |
      | a neighbour is lost beside it each time       | x1:v+w x2:v+w x3:v+w x4:v+w x5:v+w                   | w v     | z      |
      | the neighbour is answered in between          | x1:v+w p:v x2:v+w p:v x3:v+w p:v                     | w       | v z    |
      | it is answered in between                     | x1:w x2:w p:w x3:w t:1000 x4:w                       |         | w      |

    Examples: upstreams crash after they have survived the beginning
      | case                                          | events                                               | refused | served |
      | three upstreams                               | x1:~w x2:~w x3:~w t:1000                             |         | w      |
      | four upstreams                                | x1:~w x2:~w x3:~w x4:~w t:1000                       | w       | z      |
      | four, two of them as it began                 | x1:w x2:~w x3:w x4:~w t:1000                         | w       | z      |
      | three as it began, and one later              | x1:w x2:w x3:~w x4:w t:1000                          | w       | z      |

    Examples: upstreams crash by chance
      | case                                          | events                                               | refused | served |
      | one of three was lost without the request     | n:3 x1:a x2:w x3:w x4:w t:1000                       |         | w      |
      | the fourth loss after one of three without it | n:3 x1:a x2:w x3:w x4:w x5:w t:1000                  | w       | a      |
      | two of eight were lost without it             | x1:a x2:w x3:b x4:w x5:w t:1000                      | w       | a b    |
      | three of eight were lost without it           | x1:a x2:w x3:b x4:w x5:c x6:w t:1000                 |         | w      |
      | three of thirty were lost without it          | n:30 x1:a x2:w x3:b x4:w x5:c x6:w t:1000            | w       | a b c  |
      | nobody knows how many upstreams there are     | n:0 x1:a x2:w x3:b x4:w x5:c x6:w t:1000             | w       | a b c  |
      | as many without it as with it                 | x1:a x2:w x3:b x4:w x5:c x6:w x7:d x8:w t:1000       |         | w      |
      | the fifth loss, whatever is lost besides      | x1:a x2:w x3:b x4:w x5:c x6:w x7:d x8:w x9:w t:1000  | w       | a b    |
      | a part, after three without it                | x1:Ga x2:Gb x9:Gc p:G x3:Pc x4:Pd x5:Pe x6:Pf        |         | Pz Gz  |
      | its sixth loss after three without it         | x1:Ga x2:Gb x9:Gc p:G x3:Pc x4:Pd x5:Pe x6:Pf x7:Pg x8:Ph | Pz | Gz     |
      | a part, after three of thirty without it      | n:30 x1:Ga x2:Gb x9:Gc p:G x3:Pc x4:Pd x5:Pe x6:Pf   | Pz      | Gz     |
      | a part of a crashing request, lost once by chance too | x1:a x2:b x3:c x4:Pd x5:Pe+Pw x6:Pf+Pw x7:+Pw x8:+Pw x9:+Pw | Pw | Pz |
      | the same, lost twice by chance too            | x1:a x2:b x3:c x4:Pd x5:Pe x6:+Pw x7:+Pw x8:+Pw x9:+Pw | Pw  | Pz w   |
      | a crashing part, mostly with a request that has it | x1:a x2:b x3:c x4:Pd x5:Pe x6:Pw x7:Pw x8:Pw x9:Pf   | Pz      | z      |
      | a part that was answered before, with a request that crashes | p:P x1:a x2:b x3:c x4:Pd x5:Pe x6:Pf x7:+Pw x8:+Pw x9:+Pw x10:+Pw x11:+Pw | Pw | Pz |
      | the same, answered long before                | p:P t:31000 x1:a x2:b x3:c x4:Pd x5:Pe x6:Pf x7:+Pw x8:+Pw x9:+Pw x10:+Pw x11:+Pw | Pz | z |
      | those without it were lost long before        | x1:a x2:b x3:c t:11000 x4:w x5:w x6:w                | w       | z      |
      | those without it were lost with another crashing request | x1:v x2:v x3:v x4:w x5:w x6:w              | w v     | z      |

  Scenario Outline: a fenced content is tried <when>
    Guards against a content that stays refused once its upstreams are mended.
    Given a content with <losses> losses, the last at 10000 ms
    Then it may be tried from <at> ms on

    Examples:
      | when                         | losses | at     |
      | soon after it was found      | 4      | 11000  |
      | later after a failed trial   | 5      | 40000  |
      | later still after the second | 6      | 70000  |
      | at most ten minutes later    | 12     | 610000 |

  Scenario: many contents are lost once
    Guards against memory that grows with the contents of callers' requests.
    Given losses and proofs "x1:Pa x2:Pb x3:Pc x4:Pd"
    When 50000 other contents are lost, 20 with each start
    Then at most 4096 contents are kept
    And requests of "Pz" are refused, and of "z" not

  Scenario: many contents are answered and never lost
    Guards against memory that grows with the contents of callers' requests.
    When 50000 other contents are answered
    Then proofs of 4096 contents are kept

  Scenario: evidence of two daemons is merged in both orders
    Guards against an accusation that comes back, or is lost, with the order
    in which evidence arrives.
    Given losses and proofs "x1:FPa x2:FPb x3:FPc x4:FPd p:F"
    When two others merge its snapshot, one after losses of its own "x1:FPa x5:FGb"
    Then for both requests of "FPz" are refused, and of "Fz" not

  Scenario: old evidence is dropped
    Given losses and proofs "x1:FPa x2:FPb x3:FPc x4:FPd p:F x5:Ga"
    When 301000 ms have passed
    Then 1 contents are kept
    And requests of "FPz" are refused, and of "Fz" not

  Scenario: many runs break whose upstreams are not found lost
    Guards against memory that grows with connections that a cut has broken.
    Given 5000 broken runs at as many starts of 100 upstreams, 1 ms apart
    Then 1000 starts are doubted
    And the loss of the newest one is confirmed, and that of the oldest one not

  Scenario: a run broke long ago
    Guards against an accusation of a run that broke by itself.
    Given 5000 broken runs at as many starts of 100 upstreams, 10 ms apart
    Then 500 starts are doubted
