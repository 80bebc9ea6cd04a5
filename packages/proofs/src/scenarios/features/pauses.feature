Feature: Pauses
  A process is paused for longer than every time-out, and resumes.

  Scenario: an engine is paused in the middle of streams
    Given a site with 2 routers, 3 engines and 1 services
    And engines need 5 ms to the first token and 10 ms between tokens
    When 6 callers keep asking for streams of 50 tokens
    And at least 12 calls have ended
    And engine 1 is paused
    And 8 seconds pass
    And engine 1 is resumed
    And at least 12 calls have ended
    And the callers stop
    Then every answer matches its own request and is complete unless its call failed
    And no truncated stream is presented as complete
    And every call refused as not-run was not executed

  Scenario: an agent is paused between a call and its answer
    Given a site with 2 routers, 2 engines and 2 services
    And services need 200 ms to answer
    When 8 callers keep sending non-idempotent calls without idempotency keys
    And at least 16 calls have ended
    And agent 3 is paused
    And 8 seconds pass
    And agent 3 is resumed
    And at least 16 calls have ended
    And the callers stop
    And 2 seconds pass
    Then every non-idempotent call was executed at most once
    And every call refused as not-run was not executed
    And every answered non-idempotent call was executed exactly once

  Scenario: a router is paused for longer than every time-out and resumes with expired claims and grants
    Given a site with 2 routers, 2 engines and 2 services
    And services need 50 ms to answer
    When 8 callers keep sending non-idempotent calls with idempotency keys
    And 8 callers of trial keep asking for 50 tokens without a delay
    And at least 40 calls have ended
    And router 1 is paused
    And 15 seconds pass
    And router 1 is resumed
    And at least 40 calls have ended
    And the callers stop
    Then every non-idempotent call was executed at most once
    And every call refused as not-run was not executed
    And account trial stayed within its rate and burst
