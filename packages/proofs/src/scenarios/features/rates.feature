Feature: Rates
  No client account exceeds its rate and burst, summed over all VMs.

  Scenario: an account sends several times its rate through all routers
    Given a site with 3 routers, 3 engines and 1 services
    When 12 callers of trial keep asking for 50 tokens without a delay
    And 2 callers of inspectors keep asking for 20 tokens without a delay
    And 10 seconds pass
    And the callers stop
    Then account trial stayed within its rate and burst
    And no call of account inspectors was refused
    And every call refused as not-run was not executed

  Scenario: routers are killed and restarted while an account sends several times its rate
    Given a site with 3 routers, 3 engines and 1 services
    When 12 callers of trial keep asking for 50 tokens without a delay
    And 3 seconds pass
    And router 1 is killed
    And router 1 starts again
    And 3 seconds pass
    And all routers are killed
    And all routers start again
    And 3 seconds pass
    And the callers stop
    Then account trial stayed within its rate and burst

  Scenario: the store is down while an account sends several times its rate
    Given a site with 3 routers, 3 engines and 1 services
    When the store is down
    And 12 callers of trial keep asking for 50 tokens without a delay
    And 3 seconds pass
    And all routers are killed
    And all routers start again
    And 3 seconds pass
    And the callers stop
    Then account trial stayed within its rate and burst
