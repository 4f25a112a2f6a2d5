Feature: The coordinator confirms only what it knows in full
  Leader records, the duty and the instances stand in one table. A write that takes effect though its answer is lost,
  a word of a peer, or a slow reading must never make an instance act on a record that has been closed.

  Background:
    Given a table and an instance that holds the duty and has published a leader

  Scenario: A closing whose answer is lost is not renewed away
    When it closes the record and the answer is lost
    And a peer tells it of the duty's present row
    And it renews the duty
    Then it knows that the record is closing
    And nobody may use the primary

  Scenario: A renewal after a peer's word reads first
    When a peer tells it of the duty's present row
    And the table rejects readings
    And it tries to renew the duty
    Then nothing was confirmed by the renewal

  Scenario: A reading that began before a mark lists nobody of it
    Given another instance is listed
    When a reading is answered late, after the other instance was marked
    Then the other instance is not listed

  Scenario: A row that was registered anew is waited for again
    Given another instance is listed
    When the other instance is marked
    And 3 s pass and the table is read
    And the other instance registers anew and is marked again
    And 3 s pass and the table is read
    Then the other instance still counts as one that may have a permit
    When 5 s pass and the table is read
    Then the other instance's permits have ended
