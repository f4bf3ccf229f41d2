Feature: A VM tells its own lost links from lost upstreams
  Guards against blame for upstreams that work, against requests that are
  relayed though the links work, and against links that are tried at callers'
  expense while they come and go.

  Scenario Outline: <events>
    Each event comes 100 ms after the one before: o1 opens a connection to
    upstream 1, f1 fails to, l1 finds that another VM reaches it.

    Given links whose events are "<events>"
    Then the links are <state>, and upstream 1 is <reached> directly

    Examples: events
      | events               | state | reached     |
      | o1                   | sound | reached     |
      | f1 f2 f3             | sound | reached     |
      | f1 l1                | sound | not reached |
      | f1 l1 f1 l1          | sound | not reached |
      | f1 l1 o2 f3 l3       | sound | not reached |
      | f1 l1 o1             | sound | reached     |
      | f1 l1 f2 l2          | cut   | not reached |
      | f1 l1 f2 l2 o3       | cut   | not reached |
      | f1 l1 f2 l2 o3 f1 o3 | cut   | not reached |
      | f1 l1 f2 l2 o3 o4    | sound | reached     |

  Scenario Outline: <events>, in the data centres <datacentres>
    Guards against requests that are relayed to upstreams whose links work: a
    data centre that is cut off from all others reaches its own upstreams.

    Given links of a VM in a to the data centres <datacentres>, whose events are "<events>"
    Then the links are <state>, and upstream 1 is <reached> directly

    Examples: data centres
      | datacentres | events           | state | reached     |
      | a b         | l1 l2 l3         | sound | not reached |
      | a b         | l2 l3            | sound | reached     |
      | a b         | l2 l3 o4b l5b    | sound | reached     |
      | a b         | l1 l2b           | cut   | not reached |
      | a b c       | l2b l3c l4b      | sound | reached     |
      | a b c       | l2b l3c l1       | cut   | not reached |
      | a b c       | l1 l3c           | cut   | not reached |
      | b c         | l2b l3c          | cut   | not reached |

  Scenario Outline: links that are lost <times> times within 10 s
    Given links that are lost <times> times, each time <apart> s after their return
    Then <count> connections opened in a row show that they are back

    Examples: flapping
      | times | apart | count |
      | 1     | 1     | 2     |
      | 2     | 1     | 4     |
      | 3     | 1     | 8     |
      | 5     | 1     | 8     |
      | 3     | 20    | 2     |

  Scenario Outline: a single lost upstream is tried again after <seconds> s
    Given an upstream whose link is lost <times> times in a row
    Then it is connected to directly after <seconds> s, not before

    Examples: waits
      | times | seconds |
      | 1     | 1       |
      | 2     | 2       |
      | 9     | 8       |

  Scenario Outline: 60 connections are relayed, <daemons>
    Guards against an overload of a single daemon, and against requests to
    daemons that have said that they have no links.

    Given the daemons "<daemons>" of data centres a and b
    When a daemon of a opens 60 connections through them
    Then they carry "<carried>"
    And at most <asked> requests went to daemons without links

    Examples: daemons
      | daemons                  | carried        | asked |
      | a1 a2 a3                 | a1 20 a2 20 a3 20 | 0  |
      | a1 b1                    | a1 60          | 0     |
      | a1-cut a2 b1             | a2 60          | 1     |
      | a1-cut a2-cut b1 b2      | b1 30 b2 30    | 2     |
      | a1-cut a2-cut b1-cut b2  | b2 60          | 3     |
