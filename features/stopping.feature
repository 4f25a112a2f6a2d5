Feature: A planned stop answers every caller
  An instance that stops refuses the operations that still wait while it can still send answers; no connection of a
  caller is closed without an answer.

  Scenario Outline: <what> that still waits is refused before the stop ends
    Given an instance whose service has its primary replaced
    And <what> that may wait for 3 s
    When the instance stops and answers everything within 0.5 s
    Then it is refused after 0.5 s at the latest
    And the refusal says that nothing ran and when to retry

    Examples:
      | what    |
      | a write |
      | a read  |

  @real
  Scenario: A caller that has sent a part of a write when the stop begins is answered
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When a caller sends a part of a write, the instance gets SIGTERM, and 2.2 s later the rest comes
    Then the caller is answered that the write is done
