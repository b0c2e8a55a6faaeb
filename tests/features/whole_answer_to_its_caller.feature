Feature: Each caller receives the complete answer to its own request

  Scenario: A later request is answered first
    Given two requests are in progress at the same time
    When the second one is answered before the first one
    Then each caller receives the complete answer to its own request
