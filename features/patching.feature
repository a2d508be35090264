Feature: Named items are changed alone
  A patch adds or replaces items by their names, and removes others. The rest
  stays as it is, in its order.

  Background:
    Given version 5 is in force with the routes "a, b, c"

  Scenario: An item is replaced where it stands
    When an operator patches it to version 6: set DeadlineMs of the route "b" to 700
    Then it is taken
    And the routes are "a, b, c"
    And DeadlineMs of the route "b" is 700
    And DeadlineMs of the route "a" is 5000

  Scenario: A new item goes to the end
    When an operator patches it to version 6: add the route "d"
    Then the routes are "a, b, c, d"

  Scenario: An item is removed
    When an operator patches it to version 6: remove the route "b"
    Then the routes are "a, c"

  Scenario: Removing what is not there changes nothing but the version
    When an operator patches it to version 6: remove the route "x"
    Then it is taken
    And the routes are "a, b, c"
    And the configuration has version 6

  Scenario: A patch builds on a version, as a whole configuration does
    When an operator patches it to version 6: remove the route "b"
    And another operator patches version 5 to version 7: remove the route "c"
    Then the first is taken
    And the second is refused with 412 at "If-Match"
    And the routes are "a, c"
