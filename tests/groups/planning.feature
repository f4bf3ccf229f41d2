Feature: Plans strand few accelerators and keep spares where they help
  A group fits into one domain only, so that a VM placed badly may leave
  others that can form no group.

  Scenario Outline: where a new group goes
    Given free VMs <free> and needs <needs>
    When <planner> plans
    Then groups are placed in <placed>

    Examples: spread over domains, then most spares beside each group
      | planner  | free          | needs    | placed  |
      | compact  | a:8 b:8       | 4x2      | a b     |
      | firstfit | a:8 b:8       | 4x2      | a a     |
      | compact  | a:4 b:6       | 4x1      | b       |
      | compact  | a:9 b:8       | 4x3      | a b a   |
      | compact  | a:3 b:3       | 4x1      | nowhere |

    Examples: small groups leave room for large ones
      | planner  | free          | needs    | placed  |
      | compact  | a:8 b:3       | 2x1 8x1  | a b     |
      | compact  | a:8 b:10      | 2x1      | b       |
      | firstfit | a:8 b:3       | 2x1 8x1  | a       |

  Scenario Outline: what becomes of broken groups
    Given free VMs <free> and needs <needs>
    And groups <groups>
    When <planner> plans
    Then repaired are <repaired>, given up are <given up>
    And groups are placed in <placed>

    Examples: domain:up-lost for each group
      | planner  | free    | needs | groups              | repaired | given up | placed  |
      | compact  | a:1     | 4x1   | a:3-1               | 0        | none     | nowhere |
      | compact  | a:1     | 4x2   | a:2-2 a:3-1         | 1        | none     | nowhere |
      | compact  | none    | 4x2   | a:3-1 a:3-1         | none     | 1        | nowhere |
      | compact  | none    | 4x2   | a:1-3 a:1-3         | none     | none     | nowhere |
      | compact  | none    | 4x2   | a:3-1 b:3-1         | none     | none     | nowhere |
      | compact  | b:4     | 4x1   | a:3-1               | none     | 0        | b       |
      | compact  | a:1 b:4 | 4x1   | a:3-1               | 0        | none     | nowhere |
      | compact  | none    | 4x1   | a:4-0 b:4-0         | none     | 1        | nowhere |
      | compact  | none    | 4x1   | a:3-1 b:4-0         | none     | 0        | nowhere |
      | firstfit | b:4     | 4x1   | a:3-1               | none     | none     | nowhere |
      | firstfit | none    | 4x2   | a:3-1 a:3-1         | none     | none     | nowhere |

  Scenario: any fleet is planned without taking a VM twice
    When random fleets are planned with both planners
    Then no VM is used twice, and no serving group is given up needlessly
    And the compact planner forms as many groups as fit
