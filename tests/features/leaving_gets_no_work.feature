Feature: A leaving upstream receives no new work

  Scenario: The instance list still shows the upstream as live
    Given an upstream announces that it is leaving
    When the instance list does not show it yet
    Then the upstream receives no new work after 3 seconds
