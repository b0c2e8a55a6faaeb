Feature: No part of a gang job runs without the rest of the gang

  Scenario Outline: A worker is lost during the start
    Given a job whose tasks run on several workers
    When a worker dies at the "<step>" step of the start
    Then no part of the job runs alone for longer than a lease

    Examples:
      | step     |
      | reserve  |
      | commit   |
      | activate |
