Feature: The fault soak notices broken promises, and a short run keeps them
  `make soak` runs longer ones with fresh seeds; the logs of the processes stay in the folder that it prints.

  Scenario Outline: The soak's history notices <promise>
    When <what> happens in the soak's history
    Then the soak reports <promise>

    Examples:
      | promise | what                                               |
      | TWICE   | a write that runs twice                            |
      | REFUSED | a promised refusal of a write that ran             |
      | ONE     | a success from a replaced primary                  |
      | ONE     | a promotion with an older token                    |
      | STALE   | a read that lacks an acknowledged write            |
      | LOST    | a planned stop that leaves a request unanswered    |

  Scenario: Writes that a promotion rolled back are owed to nobody
    When an acknowledged write is rolled back by a promotion
    Then a read without it breaks nothing

  @real
  Scenario: A short soak of three processes
    When three processes are harmed for 6 s by the schedule of seed 1
    Then nothing is broken in the soak and callers were served
