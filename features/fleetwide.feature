Feature: An applied configuration text takes effect on every instance and is never reverted
  The fleet record confirms the text, the keys and the primary of every group; instances forward it to each other.

  @configuration
  Scenario Outline: A text is in force within 4 s when <fault>
    Given 8 instances in virtual time with acknowledgement at the "replica"
    When a limit is changed while <fault>
    Then every live instance has the new text within 4 s
    And no instance reverts to an earlier text

    Examples:
      | fault                                            |
      | nothing else happens                             |
      | the platform takes 0.4 s for each answer         |
      | one data centre is cut off from the platform     |
      | answers of the platform are lost                 |
      | an old record arrives late from a peer           |
      | two instances start at that moment               |

  @configuration
  Scenario: A new instance in a data centre that is cut off from the platform gets the text from a peer
    Given 8 instances in virtual time with acknowledgement at the "replica"
    When "dc-b" is cut off from the platform for 2 s
    And a new instance starts in "dc-b" and knows one peer
    And 3 s pass
    Then the new instance has the text in force

  @key-withdrawn
  Scenario Outline: A withdrawn key is refused within 4 s when <fault>
    Given 8 instances in virtual time with acknowledgement at the "replica"
    And keys are trusted for 4 s without a confirmation
    When the key of "acme" is withdrawn while <fault>
    Then 4 s later every request with that key is refused at every instance
    And requests with the key of "bolt" are served where <served>

    Examples:
      | fault                                        | served                      |
      | nothing else happens                         | every instance is live      |
      | one data centre is cut off from the platform | every instance is live      |
      | one data centre is cut off from everything   | the instances are connected |
      | instances are paused for 3 s                 | every instance is live      |

  @key-withdrawn
  Scenario: A request that waits while its key is withdrawn does not run
    Given 8 instances in virtual time with acknowledgement at the "replica"
    When the primary crashes and a write of "acme" waits for the new primary
    And the key of "acme" is withdrawn
    Then the waiting write is refused with "key_unknown" and has not run

  @key-scope
  Scenario Outline: <what> is refused with "<reason>"
    Given 2 instances in virtual time with acknowledgement at the "replica"
    When a request comes with <what>
    Then it was refused with "<reason>"
    And nothing ran

    Examples:
      | what                                       | reason            |
      | no key                                     | key_missing       |
      | an unknown key                             | key_unknown       |
      | a key for another route                    | key_out_of_scope  |
      | the session of another organisation        | foreign_session   |
      | a forged session                           | bad_session       |
      | a write on a read-only route               | key_out_of_scope  |
      | a route that does not exist                | route_unknown     |
      | a transaction of another organisation      | transaction_unknown |

  @leaving-target
  Scenario Outline: A leaving <role> gets no new work after 4 s
    Given 8 instances in virtual time with acknowledgement at the "replica"
    And 12 sessions that write and read at any instance
    When the <role> "<target>" is marked as draining
    And 10 s pass
    Then "<target>" got no work later than 4 s after the change
    And all faults end and the callers finish
    And the checker finds no violation
    And the longest gap between writes is at most 1 s

    Examples:
      | role    | target |
      | replica | g1-2   |
      | primary | g1-1   |

  @leaving-target
  Scenario: A planned move of the primary interrupts writes for less than 1 s
    Given 8 instances in virtual time with acknowledgement at the "replica"
    And 12 sessions that write and read at any instance
    When the text names "g1-3" as the primary
    And 10 s pass
    And all faults end and the callers finish
    Then "g1-3" is the primary
    And the checker finds no violation
    And the longest gap between writes is at most 1 s

  @graceful-stop
  Scenario Outline: An instance that stops while <what> answers every request
    Given 8 instances in virtual time with acknowledgement at the "replica"
    And 12 sessions that write and read at any instance
    When "n2" is told to stop while <what>
    And 12 s pass
    Then "n2" has stopped
    And all faults end and the callers finish
    And every request was answered, also at "n2"
    And the checker finds no violation

    Examples:
      | what                 |
      | nothing fails        |
      | the primary crashes  |
      | a text is applied    |

  @read-your-writes
  Scenario: A session that is ahead of the new term is refused instead of reading older data
    Given 8 instances in virtual time with acknowledgement at the "primary"
    And replicas are far behind
    When a session writes and the primary crashes before a replica has it
    And 8 s pass
    Then the session's next read is refused with "session_ahead"
    And a read without the session is served

  @read-your-writes
  Scenario: After a write with an unknown outcome the session reads at the primary
    Given 8 instances in virtual time with acknowledgement at the "replica"
    When a write of a session may have run
    Then the session's next read is served by the primary

  @no-mixing
  Scenario Outline: The connections of <nodes> instances to one target with <limit> never exceed it
    When <nodes> seats in 5 data centres share a target with <limit> connections
    Then the shares sum to exactly <limit> over at most 16 hosts in every data centre

    Examples:
      | nodes | limit |
      | 8     | 20    |
      | 9     | 60    |
      | 470   | 20    |
      | 470   | 6     |

  @not-run
  Scenario: An instance without connections forwards to one that has some
    Given 10 instances in virtual time with acknowledgement at the "replica"
    Then instances without a seat answer reads through a host in their data centre

  @graceful-stop
  Scenario: An instance out of reach of some peers stays known to them, and a dead one gets no forwards
    Given 8 instances in virtual time with acknowledgement at the "replica"
    When "dc-a" and "dc-b" are disconnected for 20 s while the platform omits "n1"
    Then "n0" still knows "n1" but forwards nothing to it
    And after "n1" dies no instance forwards to it
