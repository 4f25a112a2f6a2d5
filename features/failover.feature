Feature: The fleet promotes a new primary when a group loses its primary
  Acknowledged writes are kept, refusals state correctly whether anything ran, sessions read their own writes, and the
  interruption of writes is short.

  @replaced-primary @not-run @at-most-once @read-your-writes
  Scenario Outline: With majority acknowledgement, <fault>
    Given 8 instances in virtual time with acknowledgement at the "replica"
    And 12 sessions that write and read at any instance
    When 3 s later <fault>
    And 16 s pass
    And all faults end and the callers finish
    Then the checker finds no violation
    And the longest gap between writes is at most <gap> s

    Examples:
      | fault                                                      | gap |
      | nothing happens                                            | 0.5 |
      | the primary crashes                                        | 2   |
      | the primary is cut off while it still leads                | 2   |
      | the primary is cut off with its data centre                | 2   |
      | the primary is cut off and instances beside it are paused  | 2   |
      | the primary crashes while replicas are far behind          | 7   |
      | the promoter dies after closing the term                   | 7   |
      | the promoter dies after fencing                            | 7   |
      | the promoter dies after promoting                          | 7   |
      | the promoter is paused after closing the term              | 7   |
      | the promoter is paused after fencing                       | 7   |
      | the promoter is paused after promoting                     | 7   |
      | the platform loses answers during the failover             | 7   |
      | the platform is slow during the failover                   | 7   |
      | the platform is down for 2 s of the failover               | 7   |
      | the platform goes down                                     | 0.5 |
      | the primary fails twice                                    | 7   |
      | two instances die                                          | 0.5 |

  @replaced-primary @not-run @at-most-once
  Scenario Outline: With acknowledgement at the primary, <fault>
    Given 8 instances in virtual time with acknowledgement at the "primary"
    And 12 sessions that write and read at any instance
    When 3 s later <fault>
    And 16 s pass
    And all faults end and the callers finish
    Then nothing was acknowledged by a replaced primary
    And the longest gap between writes is at most 7 s

    Examples:
      | fault                                                      |
      | the primary crashes                                        |
      | the primary is cut off while it still leads                |
      | the primary is cut off with its data centre                |
      | the primary is cut off and instances beside it are paused  |
      | the promoter dies after closing the term                   |
      | the promoter is paused after fencing                       |
      | the platform loses answers during the failover             |
