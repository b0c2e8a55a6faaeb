Feature: An accepted configuration is in effect everywhere and never reverts

  Scenario: The answer to the accepted change is lost
    Given an operator changes the configuration
    When the store's answer to the change is lost
    Then the change is in effect at every instance and never reverts
