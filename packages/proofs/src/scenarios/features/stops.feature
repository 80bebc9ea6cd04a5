Feature: Planned stops
  No planned stop interrupts a request, and a leaving endpoint gets no new work after a few seconds.

  Scenario: a router that receives a stop signal interrupts no request
    Given a site with 2 routers, 3 engines and 2 services
    And engines need 5 ms to the first token and 20 ms between tokens
    And services need 500 ms to answer
    When a caller asks for the stream "running" of 200 tokens through router 1
    And a caller sends the non-idempotent call "call" through router 1
    And at least 5 tokens of "running" have arrived
    And router 1 receives a stop signal
    Then "running" is complete
    And "call" is complete
    And router 1 has stopped
    And every answer matches its own request and is complete unless its call failed

  Scenario: agents that receive stop signals one after the other interrupt no request
    Given a site with 2 routers, 4 engines and 2 services
    And engines need 5 ms to the first token and 10 ms between tokens
    And services need 100 ms to answer
    When 8 callers keep asking for streams of 50 tokens
    And 4 callers keep sending non-idempotent calls without idempotency keys
    And at least 20 calls have ended
    And agent 1 receives a stop signal
    And agent 1 has stopped
    And at least 20 calls have ended
    And agent 1 starts again
    And agent 5 receives a stop signal
    And agent 5 has stopped
    And at least 20 calls have ended
    And agent 5 starts again
    And at least 20 calls have ended
    And the callers stop
    Then every call was answered
    And every answer matches its own request and is complete unless its call failed
    And every answered non-idempotent call was executed exactly once

  Scenario: routers that receive stop signals one after the other interrupt no request
    Given a site with 3 routers, 3 engines and 2 services
    And engines need 5 ms to the first token and 10 ms between tokens
    When 9 callers keep asking for streams of 30 tokens
    And at least 20 calls have ended
    And router 1 receives a stop signal
    And router 1 has stopped
    And router 1 starts again
    And router 2 receives a stop signal
    And router 2 has stopped
    And router 2 starts again
    And router 3 receives a stop signal
    And router 3 has stopped
    And router 3 starts again
    And at least 20 calls have ended
    And the callers stop
    Then no answer was interrupted
    And every answer matches its own request and is complete unless its call failed

  Scenario: a leaving endpoint gets no new work after a few seconds
    Given a site with 2 routers, 4 engines and 1 services
    When 8 callers keep asking for streams of 20 tokens
    And at least 20 calls have ended
    And the VM list shows agent 1 as leaving
    And 3 seconds pass
    Then engine 1 gets no new work while 60 more calls end
    And the callers stop
    And every call was answered
