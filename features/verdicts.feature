Feature: A refusal says truly whether anything ran
  Callers decide by it whether to ask again, and operators where to look.

  Scenario Outline: A read whose first target <first> and that finds no other is told <told>
    Given a read whose first target <first>
    When no other target can run it
    Then the caller is told <told>

    Examples:
      | first                                  | told         |
      | failed the statement                   | ran          |
      | ended the connection                   | may_have_run |
      | ended the connection before it was sent | not_run      |
      | was behind                             | not_run      |

  Scenario: Of two attempts at a read, the one that may have run decides
    Given a read whose first target is silent and then ends the connection
    When no other target can run it
    Then the caller is told may_have_run

  Scenario Outline: Once a planned stop answers everybody, a <statement> <when> is <fate>
    Given a <statement> at a connection that answers after 0.3 s
    When it is sent <sent> s before the instance begins to refuse
    Then it is <fate>

    Examples:
      | statement | when                | sent | fate                            |
      | write     | sent in time        | 0.1  | answered                        |
      | read      | sent in time        | 0.1  | answered                        |
      | write     | that comes too late | -0.1 | refused as stopping and not run |
      | read      | that comes too late | -0.1 | refused as stopping and not run |
