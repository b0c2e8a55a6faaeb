Feature: A planned stop interrupts no request

  Scenario: An entry instance stops while a request is in progress
    Given a non-idempotent request is running at an upstream
    When its entry instance is stopped as planned
    Then the caller receives the complete answer and the stop ends
