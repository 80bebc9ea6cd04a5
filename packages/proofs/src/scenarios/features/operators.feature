Feature: Operators
  An accepted configuration is in force everywhere within seconds and never reverts.

  Scenario: two operators submit at the same time
    Given a site with 3 routers, 2 engines and 1 services
    When operators "one" and "two" submit different rates of trial at the same time
    Then the submissions of "one" and "two" have ended, and at least one is accepted
    And every router is at the same revision within 3 seconds
    And no router is at a lower revision than before

  Scenario: an accepted configuration survives a store that loses answers and a restart of all routers
    Given a site with 3 routers, 2 engines and 1 services
    And no router is at a lower revision than before
    And a caller of inspectors is connected to every router
    When the store loses answers
    And the operator withdraws the keys of inspectors
    And 2 seconds pass
    And the store is up
    Then the submission of "operator" is accepted
    And every router refuses the key of inspectors within 3 seconds
    When the store is down
    And all routers are killed
    And all routers start again
    Then no router is at a lower revision than before
    And every router refuses the key of inspectors within 1 seconds

  Scenario: an upgrade loads weights on at most two engines at once
    Given a site with 2 routers, 5 engines and 1 services
    When the operator requests 5 replicas of version 2 and the rest of version 1
    Then the submission of "operator" is accepted
    And 5 engines serve the weights drafting.2 within 30 seconds
    And at most 2 weight loads ran at once
