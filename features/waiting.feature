Feature: Callers who compete for too little room get what their kind and their organisation's share allow
  One target with 4 slots and 76 organisations, in virtual time. Three kinds of request: aim 103 ms and 3 ms of work at
  priority 0, 203 ms and 9 ms at priority 1, 603 ms and 15 ms at priority 2.

  Scenario: Twice the capacity for 5 s
    Given a line by shares and what can still be met
    When all organisations ask for twice the capacity for 5 s, seeds 1 to 4
    Then at least 90% of the operations of priority 0 are answered within their aim
    And at most 1% of the operations of organisations within their even share are refused
    And the work answered is at least 90% of the capacity
    And at least 90% of the refusals come within a quarter of the aim
    And each priority is answered for at least 3% of what it asked

  Scenario: Operations of small organisations are refused more often when the first comes first
    Given a line by priority and arrival
    When all organisations ask for twice the capacity for 5 s, seeds 1 to 4
    Then over 1% of the operations of organisations within their even share are refused

  Scenario: Six organisations ask for many times their share
    Given a line by shares and what can still be met
    When six organisations flood the target for 5 s, seeds 1 to 4
    Then at least 90% of the operations of priority 0 are answered within their aim
    And at most 1% of the operations of organisations within their even share are refused
    And the work answered is at least 90% of the capacity

  Scenario: Refused callers don't come back together
    When 400 statements of one organisation are refused at once
    Then no more than 6 of them are told to come back within the same 10 ms

  Scenario: A statement that can't be answered in time is refused on its arrival
    Given a pool with one slot, whose statements take 50 ms
    When 60 statements of one organisation arrive within one instant
    Then those that can't be answered in time are refused within 150 ms, a quarter of their aim
    And the others get their turn one after another

  Scenario: Transactions at rest leave room to single statements
    Given a pool with 10 connections, whose statements take 50 ms
    When 10 transactions begin while single statements wait
    Then at most 6 of them hold a connection
    And all of them hold one once nobody else waits

  Scenario: Repeated statements are a tenth of a target's statements
    Given a target with a budget of repeats that is used up
    When 100 statements run there
    Then 10 more of them may be repeated
