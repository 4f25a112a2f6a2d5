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

  Scenario: The holder of the lease settles a new era of the table from memory
    Given another instance is listed
    And a copy of the table
    When it closes the record and the answer is lost
    And it tries to renew the lease
    And the table comes back from the copy
    And the table rejects reads
    And the holder sees the new era and settles it
    Then the other instance is listed in the new era
    When the table answers reads again
    Then the record is closing in the new era, and the token is larger than 1
    And its rows of the earlier era can be removed

  Scenario: An instance that does not know what the last coordinator did puts its records in doubt
    Given a copy of the table
    When it closes the record and the answer is lost
    And the table comes back from the copy
    And another instance has known the new era for 1.1 s
    Then it may not settle the era
    When another instance has known the new era for 1.3 s
    Then it may settle the era
    When it settles the era
    Then the record is closing in the new era, and the token is larger than 1

  Scenario: A write that the table carries out in a new era counts for nothing
    When the table carries out a renewal of the earlier holder in the new era
    Then that renewal does not count
    And a write of the earlier era is not sent, whatever its version

  Scenario: An answer of an earlier era that arrives late changes nothing
    Given a copy of the table
    When the table comes back from the copy
    And another instance has known the new era for 1.3 s
    Then an answer of the earlier era is ignored

  Scenario Outline: The table's clock starts anew with an era, <when>
    Given a copy of the table
    When it renews the lease
    And the table comes back from the copy
    And the table's clock jumps by <seconds> s
    And the holder sees the new era and settles it
    Then an instance that reads the table 0.5 s later dates lease and settlement no earlier than they were
    When it renews the lease
    Then an instance that reads the table 0.3 s later dates lease and settlement no earlier than they were

    Examples:
      | when | seconds |
      | ahead of the earlier one | 5000 |
      | behind the earlier one | -60 |
