Feature: What one peer sends, or doesn't read, costs the others nothing
  The load: callers that send many messages at once, useless or not, and callers that read large answers slowly.

  Scenario: However many messages arrive at once, one is decoded at a time
    When 100000 short messages arrive at once on a connection
    Then 1 message is decoded until it is read, and reading from the connection is paused

  Scenario: Reading from a connection goes on when what had arrived is read
    When 100000 short messages arrive at once on a connection
    Then all 100000 are read in turn, and reading from the connection is not paused

  Scenario: Nobody waits for a caller to read whose connection is lost
    When a caller stops reading and its connection is lost
    Then the wait for it ends at once, and the bytes that it never read are known

  Scenario: A session that has ended does not count with the others
    When sessions of 40 MB begin and end one after the other, with 64 MB for all
    Then none is reset, but of two at the same time one is

  Scenario Outline: Sessions give way when all of them hold more than the memory for it
    When sessions hold <held> and may hold 100 together
    Then <reset> are reset

    Examples:
      | held                                  | reset          |
      | a1 40, a2 30, b1 30                   | none           |
      | a1 40, a2 30, b1 50                   | a1             |
      | a1 40, a2 45, a3 45, b1 60            | a2 a3          |
      | a1 90, b1 30, b2 30, b3 30, b4 30     | b4 a1          |

  @real
  Scenario Outline: Other sessions are served while callers flood an instance with <what>
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When 8 callers send 1 MiB of <what> at once
    Then others are served within 3 s each, and the instance uses at most 120 MB
    And each flood of undecodable messages has logged at most 20 lines

    Examples:
      | what                 |
      | empty lines          |
      | unknown kinds        |
      | session values       |

  @real
  Scenario: Answers that callers do not read take a bounded part of the memory, and their sessions end
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When 30 callers ask for an answer of 250000 bytes 40 times each and read nothing
    Then others are served within 3 s each, and the instance uses at most 120 MB
    And each of these sessions ends, and the log says which, how much it left unread and for how long

  @real
  Scenario: Other sessions are served while callers flood an instance with commits of no transaction
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When 8 callers send 1 MiB of commits at once
    Then others are served within 1 s each, and the instance uses at most 120 MB

  Scenario Outline: A message that waits to be read counts with the memory that its <text> take
    When a message of 1 MiB of <text> arrives on a connection
    Then what the connection holds counts with at least 0.9 of its memory, and is reported

    Examples:
      | text                    |
      | ASCII characters        |
      | characters beyond ASCII |

  @real
  Scenario: Idle sessions keep nothing of the messages that they sent
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When 100 callers send a message of 1 MiB each, are answered and stay idle
    Then the instance uses at most 120 MB

  @real
  Scenario: Transactions whose callers read slowly give their connections back after the idle time
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When 20 callers ask for an answer of 1000000 bytes 40 times each in a transaction, and read 70000 bytes a second
    Then after 6 s others are served again
