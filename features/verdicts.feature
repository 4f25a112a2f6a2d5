Feature: A refusal states correctly whether anything ran
  Callers decide from its verdict whether to retry, and operators where to look.

  Scenario Outline: A read whose first target <first> is refused as <told> if there is no other target
    Given a read whose first target <first>
    When no other target can run it
    Then the caller is told <told>

    Examples:
      | first                                  | told         |
      | failed the statement                   | ran          |
      | ended the connection                   | may_have_run |
      | ended the connection before it was sent | not_run      |
      | was behind                             | not_run      |

  Scenario: The verdict of a read with two attempts follows from the attempt that may have run
    Given a read whose first target does not respond and then ends the connection
    When no other target can run it
    Then the caller is told may_have_run

  Scenario Outline: When a stopping instance begins to refuse, a <statement> <when> is <outcome>
    Given a <statement> at a connection that answers after 0.3 s
    When it is sent <sent> s before the instance begins to refuse
    Then it is <outcome>

    Examples:
      | statement | when                | sent | outcome                         |
      | write     | sent in time        | 0.1  | answered                        |
      | read      | sent in time        | 0.1  | answered                        |
      | write     | sent too late       | -0.1 | refused as stopping and not run |
      | read      | sent too late       | -0.1 | refused as stopping and not run |

  # Guards against a token that is returned although one of two hedged attempts ran.
  Scenario Outline: Of two attempts of a read one is lost before it is sent, <when> the other one is sent
    Given two attempts of a read, of which one is lost before it is sent, <when> the other one is sent
    When both have ended
    Then the read counts as sent

    Examples:
      | when   |
      | before |
      | after  |
