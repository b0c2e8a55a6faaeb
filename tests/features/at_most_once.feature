Feature: A non-idempotent request runs at most once

  Scenario: The caller repeats a request through another instance
    Given a non-idempotent request is running at an upstream
    When its entry instance dies and the caller repeats the request
    Then the request has run at most once
