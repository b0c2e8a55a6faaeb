Feature: No task starts in a zone that operators have removed

  Scenario: A zone is removed while the store is down
    Given the store goes down while operators remove a zone
    When the removal is reported as in effect
    Then no instance may start a task in the zone after 3 seconds
