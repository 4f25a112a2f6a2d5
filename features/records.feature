Feature: The coordinator confirms only records that it has read completely
  Leader records, the coordinator lease and the list of instances are rows of one table. No instance may act on a
  closed record because of a write whose answer was lost, a message of a peer, or a read that is answered late.

  Background:
    Given a table and an instance that holds the coordinator lease and has published a leader

  Scenario: A renewal does not hide a closing record whose answer was lost
    When it closes the record and the answer is lost
    And a peer sends it the present row of the lease
    And it renews the lease
    Then it knows that the record is closing
    And no instance may use the primary

  Scenario: A renewal after a peer's message reads the table first
    When a peer sends it the present row of the lease
    And the table rejects reads
    And it tries to renew the lease
    Then nothing was confirmed by the renewal

  Scenario: A read that began before an instance was marked as leaving does not list that instance
    Given another instance is listed
    When a read is answered late, after the other instance was marked as leaving
    Then the other instance is not listed

  Scenario: The permits of an instance that registered again are waited for again
    Given another instance is listed
    When the other instance is marked as leaving
    And 3 s pass and the table is read
    And the other instance registers again and is marked as leaving again
    And 3 s pass and the table is read
    Then the other instance may still have a permit
    When 5 s pass and the table is read
    Then the other instance's permits have expired
