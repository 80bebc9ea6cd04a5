Feature: Keys
  Operators withdraw keys from callers that are still connected.

  Scenario: a withdrawn key stops working within seconds through every router
    Given a site with 3 routers, 2 engines and 1 services
    And a caller of inspectors is connected to every router
    When the operator withdraws the keys of inspectors
    Then the submission of "operator" is accepted
    And every router refuses the key of inspectors within 3 seconds
    And no endpoint received a key

  Scenario: a withdrawn key stays withdrawn when all routers restart while the store is down
    Given a site with 3 routers, 2 engines and 1 services
    And a caller of inspectors is connected to every router
    When the operator withdraws the keys of inspectors
    Then the submission of "operator" is accepted
    And every router refuses the key of inspectors within 3 seconds
    When the store is down
    And all routers are killed
    And all routers start again
    Then every router refuses the key of inspectors within 1 seconds
