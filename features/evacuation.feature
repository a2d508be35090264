Feature: A zone is evacuated and used again

  Background:
    Given version 5 is in force

  Scenario: Nothing more goes to an evacuated zone
    When an operator evacuates the zone "hall"
    Then it is taken
    And the evacuated zones are "hall"
    And the configuration has version 5

  Scenario: Asking twice does no harm
    When an operator evacuates the zone "hall"
    And an operator evacuates the zone "hall"
    Then both are taken
    And the evacuated zones are "hall"

  Scenario: An evacuation is ended
    When an operator evacuates the zone "hall"
    And an operator evacuates the zone "mill"
    And an operator ends the evacuation of the zone "hall"
    Then all are taken
    And the evacuated zones are "mill"

  Scenario: Ending what was never begun does no harm
    When an operator ends the evacuation of the zone "hall"
    Then it is taken
    And no zone is evacuated

  Scenario: Evacuations outlive changes of the configuration
    When an operator evacuates the zone "hall"
    And an operator puts version 9 on top of 5
    Then both are taken
    And the evacuated zones are "hall"
