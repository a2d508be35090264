Feature: One configuration, changed version by version
  Operators replace the configuration whole or change named items of it.
  Every change names the version that it builds on; the first builds on 0.

  Scenario: The first configuration is taken
    When an operator puts version 5 on top of 0
    Then it is taken
    And the configuration has version 5

  Scenario: A change on top of the current version is taken
    Given version 5 is in force
    When an operator puts version 9 on top of 5
    Then it is taken
    And the configuration has version 9

  Scenario: What was put is handed out whole, unknown fields included
    When an operator puts this on top of 0
      """
      {"Edition": 3, "Routes": [], "Services": [], "Remark": {"by": ["night shift", 2.5]}}
      """
    Then the configuration reads
      """
      {"Edition": 3, "Routes": [], "Services": [], "Remark": {"by": ["night shift", 2.5]}}
      """

  Scenario Outline: A change on top of another version is refused
    Given version 5 is in force
    When an operator puts version 9 on top of <base>
    Then it is refused with 412 at "If-Match"
    And the configuration has version 5

    Examples:
      | base |
      | 0    |
      | 4    |
      | 6    |

  Scenario: A change that names no version to build on is refused
    Given version 5 is in force
    When an operator puts version 9 on top of nothing
    Then it is refused with 400 at "If-Match"

  Scenario Outline: Versions rise
    Given version 5 is in force
    When an operator puts version <version> on top of 5
    Then it is refused with 400 at "Edition"
    And the configuration has version 5

    Examples:
      | version |
      | 5       |
      | 4       |

  Scenario: Of two changes on the same version the first wins
    Given version 5 is in force
    When an operator puts version 7 on top of 5
    And another operator puts version 8 on top of 5
    Then the first is taken
    And the second is refused with 412 at "If-Match"
    And the configuration has version 7

  Scenario: The loser's change is taken on top of the winner's
    Given version 5 is in force
    When an operator puts version 7 on top of 5
    And another operator puts version 8 on top of 7
    Then both are taken
    And the configuration has version 8
