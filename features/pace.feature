Feature: A target gets as many statements at a time as it answers quickly
  Its connections are held at one place, which sees all its work. What it can't run soon waits there, not at the target.

  Scenario Outline: A target with <slots> slots that says it has <told>, <case>
    Given targets that run <slots> statements at a time and say <told>
    And after 4 s of the <before> mix and full load, the <after> mix at <slowness> times the time
    When they run under full load for 12 s
    Then they serve at least <share> of what they can
    And the limit is at most <most> on average, and no statement is turned away

    Examples:
      | case                            | slots | told | before | after | slowness | share | most |
      | as it says                      | 4     | 4    | usual  | usual | 1        | 0.95  | 8    |
      | whose work becomes heavier      | 4     | 4    | light  | heavy | 1        | 0.95  | 8    |
      | which becomes slower            | 4     | 4    | usual  | usual | 4        | 0.90  | 8    |
      | with fewer than it says         | 2     | 4    | usual  | usual | 1        | 0.90  | 8    |
      | with more than it says          | 8     | 4    | usual  | usual | 1        | 0.85  | 16   |
      | with many and no word of them   | 16    | 0    | usual  | usual | 1        | 0.70  | 32   |

  Scenario Outline: A target returns <case>
    Given targets that run 4 statements at a time and say 4
    And after 4 s of the usual mix and full load, the usual mix at <slowness> times the time
    When they are <event> and run under full load for 2 s
    Then from 0.5 s on they serve at least <share> of what they can
    And at most 5% of the answers take longer than 0.25 s

    Examples:
      | case                          | event              | slowness | share |
      | from a failure                | restarted          | 1        | 0.9   |
      | after flapping                | restarted 10 times | 1        | 0.9   |
      | and is slower until it's warm | restarted          | 1.6      | 0.9   |

  Scenario: Statements are turned away by a target that others fill
    Given targets that run 4 statements at a time and say 4
    When one turns statements away three times, 0.2 s apart
    Then its limit is at most 2
    When it answers at once for 1 s
    Then its limit is at least 4

  Scenario: Another incarnation of a target starts low and keeps what was learnt
    Given the pace of a target that has found a limit of 6
    When another incarnation of it is seen
    Then its limit is 2
    When it answers at once 4 times
    Then its limit is 6

  Scenario: A limit's changes are reported at most twice a second
    Given the pace of a target that has found a limit of 6
    When it is restarted and fails by turns for 5 s
    Then at most 11 changes are reported, with their causes

  Scenario Outline: 40 statements meet a target with 4 slots at once, at a pool <case>
    Given a pool of 20 connections <case> to a target with 4 slots
    When 40 callers run reads for 4 s
    Then at most <most> statements are at the target at a time
    And the callers get at least 90% of the answers that 4 slots can give

    Examples:
      | case           | most |
      | with a pace    | 10   |
      | without a pace | 20   |

  Scenario: Transactions at rest leave their room to others
    Given a pool of 20 connections with a pace to a target with 4 slots
    When 12 callers begin transactions and rest
    And 8 callers run reads for 1 s
    Then the readers are served as if nobody rested

  Scenario Outline: A target <case> and is approached from a low limit
    Given a pool of 20 connections with a pace to a target with 4 slots
    When 40 callers run reads for 4 s, and after 2 s the target <case>
    Then a restart of the pace is logged
    And at most 10 statements are at the target at a time

    Examples:
      | case                  |
      | is silent for 0.5 s   |
      | is promoted           |

  @known-red
  Scenario: Callers of a silent target are sent elsewhere at once
    Given a pool of 20 connections with a pace to a target with 4 slots
    When 40 callers run reads for 4 s, and after 2 s the target is silent for 2 s
    Then while it is silent, callers wait for at most 20 s in all

  Scenario: The demand of three data centres swings by 0.55, and all instances choose by the same figures
    When a wave of demand is played for 26 s, with the draw and without it
    Then no target has more than 1.5 times the mean use for over 1 s
    And statements wait at most 0.85 times as long with the draw
