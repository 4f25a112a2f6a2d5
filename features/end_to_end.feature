Feature: Requests pass end to end through real processes over loopback
  A caller writes through one instance and reads through another, and a caller without a key is refused. The fleet is
  configured by its text, as operators do.

  @real @read-your-writes @whole-answer
  Scenario: A write through one instance is read through the other with the session token
    Given 2 real instances whose reads wait up to 5 s for a replica
    And the table "prices" exists
    When the caller writes price "8900.00" for "completo" through i1
    And the caller reads "completo" through i2 with its session
    Then the answer holds price "8900.00"
    And a replica served it

  @real @key-scope
  Scenario: A call without a key is refused and nothing has run
    Given 2 real instances
    When a caller without a key sends "select 1" to i2
    Then it is refused with 401 "key_missing" and verdict "not_run"
