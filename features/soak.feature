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

    Examples: What databases run and callers are answered
      | guarantee | what                                                       |
      | UNASKED   | a request that runs though it stands inside a field        |
      | UNASKED   | a request that runs though its message holds a line feed   |
      | UNASKED   | a request that runs behind an undecodable message          |
      | UNASKED   | a request that runs with another text                      |
      | UNASKED   | a read under the id of internal statements                 |
      | UNASKED   | a value that no caller has set                             |
      | UNASKED   | a shape that no caller has prepared                        |
      | UNASKED   | a NUL at a database                                        |
      | UNASKED   | a key of a caller at a database                            |
      | UNASKED   | a success behind an undecodable message                    |
      | MIXED     | the signature of another request                           |
      | MIXED     | the row of another key                                     |
      | MIXED     | two signatures                                             |
      | ANSWERED  | a valid message before an undecodable one stays unanswered |

  Scenario: Requests that callers sent may run, with other names of prepared statements and behind AFTER
    When a database runs what callers sent
    Then it is no violation

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
    And callers sent requests inside fields and under reserved ids, and databases answered oddly
