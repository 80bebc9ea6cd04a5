Feature: Non-idempotent calls
  A non-idempotent call is executed at most once, and a call refused as not-run was not executed.

  @quick
  Scenario: a call that is sent through two routers at once is executed once
    Given a site with 2 routers, 1 engines and 2 services
    And services need 300 ms to answer
    When a caller sends the non-idempotent call "one" with idempotency key "stamp-1" through router 1
    And a caller sends the non-idempotent call "two" with idempotency key "stamp-1" through router 2
    And "one" has ended
    And "two" has ended
    And a caller sends the non-idempotent call "three" with idempotency key "stamp-1" through router 2 until it is answered
    Then "three" is answered with a replay
    And every non-idempotent call was executed at most once
    And every answered non-idempotent call was executed exactly once

  Scenario: another router replays the answer to a call that is sent again immediately
    Given a site with 2 routers, 1 engines and 2 services
    When a caller sends the non-idempotent call "one" with idempotency key "stamp-1" through router 1
    Then "one" is complete
    When a caller sends the non-idempotent call "two" with idempotency key "stamp-1" through router 2
    Then "two" is answered with a replay
    And every non-idempotent call was executed at most once

  Scenario: a router replays the answer to a call that is sent again after all routers have restarted
    Given a site with 2 routers, 1 engines and 2 services
    When a caller sends the non-idempotent call "one" with idempotency key "stamp-1" through router 1
    Then "one" is complete
    When all routers are killed
    And all routers start again
    And a caller sends the non-idempotent call "two" with idempotency key "stamp-1" through router 2
    Then "two" is answered with a replay
    And every non-idempotent call was executed at most once

  Scenario: a call whose router was killed before the answer is not executed again
    Given a site with 2 routers, 1 engines and 2 services
    And services need 2000 ms to answer
    When a caller sends the non-idempotent call "one" with idempotency key "stamp-1" through router 1
    And 1 seconds pass
    And router 1 is killed
    And a caller sends the non-idempotent call "two" with idempotency key "stamp-1" through router 2
    And "two" has ended
    And router 1 starts again
    And a caller sends the non-idempotent call "three" with idempotency key "stamp-1" through router 1
    And "three" has ended
    Then every non-idempotent call was executed at most once
    And every call refused as not-run was not executed

  Scenario: the store is down while non-idempotent calls are sent
    Given a site with 2 routers, 1 engines and 2 services
    When 8 callers keep sending non-idempotent calls with idempotency keys
    And at least 20 calls have ended
    And the store is down
    And 3 seconds pass
    And the store is up
    And 3 seconds pass
    And the callers stop
    Then every non-idempotent call was executed at most once
    And every answered non-idempotent call was executed exactly once
    And every call refused as not-run was not executed

  Scenario: the store is slow while non-idempotent calls are sent
    Given a site with 2 routers, 1 engines and 2 services
    When 8 callers keep sending non-idempotent calls with idempotency keys
    And at least 20 calls have ended
    And the store is slow
    And 5 seconds pass
    And the store is up
    And 3 seconds pass
    And the callers stop
    Then every non-idempotent call was executed at most once
    And every answered non-idempotent call was executed exactly once
    And every call refused as not-run was not executed

  Scenario: answers of the store are lost after the claim was written
    Given a site with 2 routers, 1 engines and 2 services
    When 8 callers keep sending non-idempotent calls with idempotency keys
    And at least 20 calls have ended
    And the store loses answers
    And 3 seconds pass
    And all routers are killed
    And the store is up
    And all routers start again
    And at least 20 calls have ended
    And the callers stop
    Then every non-idempotent call was executed at most once
    And every answered non-idempotent call was executed exactly once
    And every call refused as not-run was not executed
