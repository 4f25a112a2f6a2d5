Feature: The coordinator keeps its lease when only the connection of a renewal fails
  A renewal that stays without an answer may have taken effect, or may do so later.

  Scenario Outline: The connection of a renewal goes silent, and the table <what>
    Given 9 instances in virtual time
    When callers send statements for 8 s, and a renewal of the coordinator is not answered: the table <what>
    Then the same instance coordinates, with the same token
    And no statement was refused

    Examples:
      | what                            |
      | never gets it                   |
      | has carried it out              |
      | carries it out 0.6 s later      |
      | carries it out 3 s later        |
