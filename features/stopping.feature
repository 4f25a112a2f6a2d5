Feature: A planned stop answers everybody
  An instance that ends by plan refuses what still waits, while it can say so; a caller's connection never just ends.

  Scenario Outline: <what> that waits when the stop ends is refused before
    Given an instance whose service has its primary replaced
    And <what> that may wait for 3 s
    When the instance stops and answers everything within 0.5 s
    Then it is refused after 0.5 s at the latest
    And the refusal says that nothing ran and when to come back

    Examples:
      | what    |
      | a write |
      | a read  |
