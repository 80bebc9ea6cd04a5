Feature: Partitions
  Processes cannot reach each other, in one direction or in both.

  Scenario: a key is withdrawn while one router is partitioned from the store
    Given a site with 3 routers, 2 engines and 1 services on a network that can be partitioned
    And a caller of inspectors is connected to every router
    When router 1 is partitioned from the store
    And the operator withdraws the keys of inspectors
    Then the submission of "operator" is accepted
    And every router refuses the key of inspectors within 3 seconds

  Scenario: routers that are partitioned from each other keep an account within its rate
    Given a site with 3 routers, 3 engines and 1 services on a network that can be partitioned
    When 12 callers of trial keep asking for 50 tokens without a delay
    And 3 seconds pass
    And all routers are partitioned from each other
    And 8 seconds pass
    And the network is healed
    And 3 seconds pass
    And the callers stop
    Then account trial stayed within its rate and burst
    And every call refused as not-run was not executed

  Scenario: a router is partitioned from its agents in the middle of calls
    Given a site with 2 routers, 3 engines and 2 services on a network that can be partitioned
    And engines need 5 ms to the first token and 10 ms between tokens
    And services need 100 ms to answer
    When 8 callers keep asking for streams of 50 tokens
    And 8 callers keep sending non-idempotent calls without idempotency keys
    And at least 40 calls have ended
    And router 1 is partitioned from agent 1
    And router 1 is partitioned from agent 4
    And 5 seconds pass
    And the network is healed
    And at least 40 calls have ended
    And the callers stop
    And 2 seconds pass
    Then no truncated stream is presented as complete
    And every non-idempotent call was executed at most once
    And every call refused as not-run was not executed

  Scenario: what an agent sends no longer reaches a router
    Given a site with 2 routers, 3 engines and 2 services on a network that can be partitioned
    And engines need 5 ms to the first token and 10 ms between tokens
    And services need 100 ms to answer
    When 8 callers keep asking for streams of 50 tokens
    And 8 callers keep sending non-idempotent calls with idempotency keys
    And at least 40 calls have ended
    And nothing from agent 1 reaches router 1
    And nothing from agent 4 reaches router 1
    And 5 seconds pass
    And the network is healed
    And at least 40 calls have ended
    And the callers stop
    And 2 seconds pass
    Then no truncated stream is presented as complete
    And every non-idempotent call was executed at most once
    And every call refused as not-run was not executed

  Scenario: a data centre is disconnected and reconnected
    Given a site with 4 routers, 4 engines and 2 services on a network that can be partitioned
    When 8 callers keep asking for streams of 20 tokens
    And 8 callers of trial keep asking for 50 tokens without a delay
    And 4 callers keep sending non-idempotent calls with idempotency keys
    And at least 60 calls have ended
    And data centre south is disconnected
    And 8 seconds pass
    And the network is healed
    And at least 60 calls have ended
    And the callers stop
    Then no truncated stream is presented as complete
    And account trial stayed within its rate and burst
    And every non-idempotent call was executed at most once
    And every call refused as not-run was not executed
    And every router is at the same revision within 3 seconds
