Feature: The soak test detects violations of the guarantees, and a short run shows none
  `make soak` runs longer ones with new seeds and prints the folder in which the logs of the processes are kept.

  Scenario Outline: The soak's history detects <guarantee>
    When <what> happens in the soak's history
    Then the soak reports <guarantee>

    Examples:
      | guarantee | what                                              |
      | TWICE     | a write that runs twice                           |
      | REFUSED   | a write that ran but is reported as not kept      |
      | ONE       | a success from a replaced primary                 |
      | ONE       | a promotion with an older token                   |
      | STALE     | a read that lacks an acknowledged write           |
      | STALE     | a read of old data that lacks an older write      |
      | LOST      | a stop by SIGTERM that leaves a request unanswered |
      | ENDED     | an instance that ends by itself                   |
      | CONFIG    | a session refused for a route that was there      |

  Scenario: Reads that accept old data need not return a recent write
    When a read that accepts old data lacks a recent write
    Then it is no violation

  Scenario: Reads need not return writes that a promotion rolled back
    When an acknowledged write is rolled back by a promotion
    Then a read that does not return it is no violation

  @real
  Scenario: A short soak of three processes
    When faults are injected into three processes for 6 s by the schedule of seed 1
    Then the soak finds no violation and callers were served
