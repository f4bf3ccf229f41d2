Feature: Plans strand few accelerators and keep spares where they help
  All VMs of a group must be in one domain, so a badly placed group may
  leave free VMs that can't form another one.

  Scenario Outline: where a new group goes
    Given free VMs <free> and declared groups <declared>
    When <planner> plans
    Then groups are placed in <placed>

    Examples: groups are spread over domains, then spares are maximized
      | planner  | free    | declared | placed  |
      | compact  | a:8 b:8 | 4x2      | a b     |
      | firstfit | a:8 b:8 | 4x2      | a a     |
      | compact  | a:4 b:6 | 4x1      | b       |
      | compact  | a:9 b:8 | 4x3      | a b a   |
      | compact  | a:3 b:3 | 4x1      | nowhere |

    Examples: small groups leave enough VMs for large ones
      | planner  | free     | declared | placed |
      | compact  | a:8 b:3  | 2x1 8x1  | a b    |
      | compact  | a:8 b:10 | 2x1      | b      |
      | firstfit | a:8 b:3  | 2x1 8x1  | a      |

  Scenario Outline: how broken groups are handled
    Given free VMs <free> and declared groups <declared>
    And existing groups <groups>
    When <planner> plans
    Then repaired are <repaired>, dissolved are <dissolved>
    And groups are placed in <placed>

    Examples: each group is given as domain:up-lost
      | planner  | free    | declared | groups      | repaired | dissolved | placed  |
      | compact  | a:1     | 4x1      | a:3-1       | 0        | none      | nowhere |
      | compact  | a:1     | 4x2      | a:2-2 a:3-1 | 1        | none      | nowhere |
      | compact  | none    | 4x2      | a:3-1 a:3-1 | none     | 1         | nowhere |
      | compact  | none    | 4x2      | a:1-3 a:1-3 | none     | none      | nowhere |
      | compact  | none    | 4x2      | a:3-1 b:3-1 | none     | none      | nowhere |
      | compact  | b:4     | 4x1      | a:3-1       | none     | 0         | b       |
      | compact  | a:1 b:4 | 4x1      | a:3-1       | 0        | none      | nowhere |
      | compact  | none    | 4x1      | a:4-0 b:4-0 | none     | 1         | nowhere |
      | compact  | none    | 4x1      | a:3-1 b:4-0 | none     | 0         | nowhere |
      | firstfit | b:4     | 4x1      | a:3-1       | none     | none      | nowhere |
      | firstfit | none    | 4x2      | a:3-1 a:3-1 | none     | none      | nowhere |

  Scenario: no plan assigns a VM twice
    When random fleets are planned with both planners
    Then no VM is used twice, and no serving group is dissolved needlessly
    And the compact planner forms as many groups as fit
