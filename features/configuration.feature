Feature: A configuration is in force everywhere in time, whichever connection, reader or peer fails
  Operators allow 3 s from the table's acknowledgement of a version. The coordinator reads the operators' row for all
  instances.

  Scenario: The log of a request tells by which version it was judged
    Given 5 instances in virtual time
    When callers send statements for 2 s, and a key is withdrawn meanwhile
    Then each served and refused request names a version, its source, and an age of both it and the last reading
    And the requests after the change name a newer version than those before

  Scenario: The peer that told of a version has restarted and holds none
    Given an instance that was told of a version by a peer, and whose table has it
    When that peer answers each fetch without a configuration
    Then the instance holds the version within 1 s

  Scenario Outline: The coordinator's connections to the table go silent, and <count> instances learn in time that <what>
    Given <count> instances in virtual time
    When the coordinator's connections to the table go silent right after a call began, and <what>
    Then every instance knows it within <limit> s

    Examples:
      | count | what | limit |
      | 9 | a key is withdrawn | 3 |
      | 63 | a key is withdrawn | 3 |
      | 9 | a data centre is evacuated | 3 |
      | 63 | a data centre is evacuated | 3 |
      | 9 | a target leaves | 3 |
      | 63 | a target leaves | 3 |
