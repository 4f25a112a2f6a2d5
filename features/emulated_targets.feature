Feature: Targets of the emulator treat a connection as real ones do

  Scenario: A statement that waits for a slot when its connection ends does not run outside its transaction
    Given a connection to an emulated target with an open transaction
    When the connection is closed while a write of the transaction waits for a slot
    Then the target has run no statement outside a transaction
    And its log is empty
