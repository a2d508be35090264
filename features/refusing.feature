Feature: A configuration that can't be used is refused whole
  All its faults are told at once, each with its place. Nothing changes.

  Background:
    Given version 5 is in force

  Scenario Outline: <fault>
    When an operator puts version 9 whose route has <field> <value>
    Then it is refused with 400 at "Routes[0].<place>"
    And the configuration has version 5

    Examples:
      | fault                          | field      | value                                   | place            |
      | A service that is not there    | Service    | "none"                                  | Service          |
      | Weights that sum to 0          | Shares     | [{"Service": "model", "Share": 0}]      | Shares           |
      | A weight below 0               | Shares     | [{"Service": "model", "Share": -1}]     | Shares[0].Share  |
      | No time at all                 | DeadlineMs | 0                                       | DeadlineMs       |
      | Time as a text                 | DeadlineMs | "5000"                                  | DeadlineMs       |
      | A prefix without its slash     | PathPrefix | "/shop"                                 | PathPrefix       |
      | A kind that nobody knows       | Kind       | "sometimes"                             | Kind             |

  Scenario: Two routes at one place
    When an operator puts version 9 with two routes at the same host and prefix
    Then it is refused with 400 at "Routes[1]"

  Scenario: A body that was cut short
    When an operator puts version 9 cut short
    Then it is refused with 400
    And the configuration has version 5

  Scenario: Every fault is told
    When an operator puts this on top of 5
      """
      {"Edition": "six", "Services": [{}],
       "Routes": [{"Name": "a", "Host": "h", "PathPrefix": "/", "Kind": "safe", "DeadlineMs": 0, "Service": "x"}]}
      """
    Then it is refused with 400
    And the findings are
      | place                |
      | Edition              |
      | Services[0].Name     |
      | Routes[0].DeadlineMs |
      | Routes[0].Service    |

  Scenario: A patch that would leave routes without their service
    When an operator patches it to version 9: remove the service "model"
    Then it is refused with 400
    And the findings are
      | place                       |
      | Routes[0].Service           |
      | Routes[1].Shares[0].Service |
      | Routes[1].Shares[1].Service |
    And the configuration has version 5
