Feature: An overloaded target keeps its throughput, and no organisation starves another
  Each organisation has a queue of its own; requests that would wait in it for too long are refused at once.

  Scenario: Three times the load
    Given 8 instances in virtual time whose targets need 50 ms for each statement
    When one organisation offers writes at the rate that the primary can carry for 6 s
    And then three times that rate for 6 s while another offers a fifth of it
    Then at three times the load at least 90% as many writes were served
    And the other organisation was served at least 90% of what it sent
    And refusals came before the deadline and say when to retry
