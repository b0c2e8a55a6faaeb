Feature: A refusal that says "not run" is true

  Scenario: The upstream dies after the request was sent
    Given a non-idempotent request is running at an upstream
    When the upstream dies before it answers
    Then no caller is told that a request that ran was not run
