Feature: An account can always reclaim its guaranteed shape

  Scenario: Borrowed accelerators are given back
    Given account "b" runs a job on all accelerators
    And account "a" has a guarantee of two half workers
    When account "a" submits a job within its guarantee
    Then the job of account "a" starts although account "b" never finishes
