Feature: Stamps
  A call that may not be repeated runs at most once, and a refusal saying "not run" is true.

  @quick
  Scenario: the same stamp through two routers at once is executed once
    Given a site with 2 routers, 1 engines and 2 services
    And services need 300 ms to answer
    When a caller sends the stamp "one" with idempotency key "stamp-1" through router 1
    And a caller sends the stamp "two" with idempotency key "stamp-1" through router 2
    And "one" has ended
    And "two" has ended
    And a caller sends the stamp "three" with idempotency key "stamp-1" through router 2 until it is answered
    Then "three" is answered with a replay
    And every stamp was executed at most once
    And every answered stamp was executed exactly once

  Scenario: the same stamp right after its answer is replayed by another router
    Given a site with 2 routers, 1 engines and 2 services
    When a caller sends the stamp "one" with idempotency key "stamp-1" through router 1
    Then "one" is complete
    When a caller sends the stamp "two" with idempotency key "stamp-1" through router 2
    Then "two" is answered with a replay
    And every stamp was executed at most once

  Scenario: the same stamp again after all routers have restarted is replayed
    Given a site with 2 routers, 1 engines and 2 services
    When a caller sends the stamp "one" with idempotency key "stamp-1" through router 1
    Then "one" is complete
    When all routers are killed
    And all routers start again
    And a caller sends the stamp "two" with idempotency key "stamp-1" through router 2
    Then "two" is answered with a replay
    And every stamp was executed at most once

  Scenario: a stamp whose router died before the answer is not executed again
    Given a site with 2 routers, 1 engines and 2 services
    And services need 2000 ms to answer
    When a caller sends the stamp "one" with idempotency key "stamp-1" through router 1
    And 1 seconds pass
    And router 1 is killed
    And a caller sends the stamp "two" with idempotency key "stamp-1" through router 2
    And "two" has ended
    And router 1 starts again
    And a caller sends the stamp "three" with idempotency key "stamp-1" through router 1
    And "three" has ended
    Then every stamp was executed at most once
    And every refusal as not-run is true

  Scenario: the store is down while stamps are sent
    Given a site with 2 routers, 1 engines and 2 services
    When 8 callers keep sending stamps with idempotency keys
    And at least 20 calls have ended
    And the store is down
    And 3 seconds pass
    And the store is up
    And 3 seconds pass
    And the callers stop
    Then every stamp was executed at most once
    And every answered stamp was executed exactly once
    And every refusal as not-run is true

  Scenario: the store is slow while stamps are sent
    Given a site with 2 routers, 1 engines and 2 services
    When 8 callers keep sending stamps with idempotency keys
    And at least 20 calls have ended
    And the store is slow
    And 5 seconds pass
    And the store is up
    And 3 seconds pass
    And the callers stop
    Then every stamp was executed at most once
    And every answered stamp was executed exactly once
    And every refusal as not-run is true

  Scenario: answers of the store are lost after the claim was written
    Given a site with 2 routers, 1 engines and 2 services
    When 8 callers keep sending stamps with idempotency keys
    And at least 20 calls have ended
    And the store loses answers
    And 3 seconds pass
    And all routers are killed
    And the store is up
    And all routers start again
    And at least 20 calls have ended
    And the callers stop
    Then every stamp was executed at most once
    And every answered stamp was executed exactly once
    And every refusal as not-run is true
