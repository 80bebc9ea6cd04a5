Feature: Cuts
  Processes lose each other, in one direction or in both.

  Scenario: a key is withdrawn while one router is cut from the store
    Given a site with 3 routers, 2 engines and 1 services on a network that can be cut
    And a caller of inspectors is connected to every router
    When router 1 is cut from the store
    And the operator withdraws the keys of inspectors
    Then the submission of "operator" is accepted
    And every router refuses the key of inspectors within 3 seconds

  Scenario: routers that are cut from each other keep an account within its rate
    Given a site with 3 routers, 3 engines and 1 services on a network that can be cut
    When 12 callers of trial keep asking for 50 tokens without a pause
    And 3 seconds pass
    And all routers are cut from each other
    And 8 seconds pass
    And the network is healed
    And 3 seconds pass
    And the callers stop
    Then account trial got at most its rate and burst
    And every refusal as not-run is true

  Scenario: a router loses an agent in the middle of calls
    Given a site with 2 routers, 3 engines and 2 services on a network that can be cut
    And engines need 5 ms to the first token and 10 ms between tokens
    And services need 100 ms to answer
    When 8 callers keep asking for streams of 50 tokens
    And 8 callers keep sending stamps without idempotency keys
    And at least 40 calls have ended
    And router 1 is cut from agent 1
    And router 1 is cut from agent 4
    And 5 seconds pass
    And the network is healed
    And at least 40 calls have ended
    And the callers stop
    And 2 seconds pass
    Then no stream that was cut looks complete
    And every stamp was executed at most once
    And every refusal as not-run is true

  Scenario: what an agent sends no longer reaches a router
    Given a site with 2 routers, 3 engines and 2 services on a network that can be cut
    And engines need 5 ms to the first token and 10 ms between tokens
    And services need 100 ms to answer
    When 8 callers keep asking for streams of 50 tokens
    And 8 callers keep sending stamps with idempotency keys
    And at least 40 calls have ended
    And nothing from agent 1 reaches router 1
    And nothing from agent 4 reaches router 1
    And 5 seconds pass
    And the network is healed
    And at least 40 calls have ended
    And the callers stop
    And 2 seconds pass
    Then no stream that was cut looks complete
    And every stamp was executed at most once
    And every refusal as not-run is true

  Scenario: a data centre is cut off and comes back
    Given a site with 4 routers, 4 engines and 2 services on a network that can be cut
    When 8 callers keep asking for streams of 20 tokens
    And 8 callers of trial keep asking for 50 tokens without a pause
    And 4 callers keep sending stamps with idempotency keys
    And at least 60 calls have ended
    And data centre south is cut off
    And 8 seconds pass
    And the network is healed
    And at least 60 calls have ended
    And the callers stop
    Then no stream that was cut looks complete
    And account trial got at most its rate and burst
    And every stamp was executed at most once
    And every refusal as not-run is true
    And every router is at the same revision within 3 seconds
