Feature: A change may be sent again
  Where an answer was lost, the same change is sent again, to any coordinator.
  It must not fail because it has been taken already.

  Scenario: The same change sent again is a success
    Given version 5 is in force
    When an operator puts version 7 on top of 5
    And the same is sent again
    Then both are taken
    And the configuration has version 7

  Scenario: It is a success even when newer changes came in between
    Given version 5 is in force
    When an operator puts version 7 on top of 5
    And another operator puts version 8 on top of 7
    And the first is sent again
    Then all are taken
    And the configuration has version 8

  Scenario: The loser of a race stays refused however often it is sent
    Given version 5 is in force
    When an operator puts version 7 on top of 5
    And another operator puts version 8 on top of 5
    And the same is sent again
    Then the second is refused with 412 at "If-Match"
    And the third is refused with 412 at "If-Match"

  Scenario: A change of the same version with another content is another change
    Given version 5 is in force
    When an operator puts version 7 on top of 5
    And another operator puts version 7 with the route "extra" on top of 5
    Then the second is refused with 412 at "If-Match"

  Scenario: A patch sent again is not applied twice
    Given version 5 is in force with the routes "a, b"
    When an operator patches it to version 6: remove the route "a"
    And another operator patches it to version 7: add the route "a"
    And the first is sent again
    Then all are taken
    And the routes are "b, a"
