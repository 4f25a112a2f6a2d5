Feature: The platform's names and formats are translated, and nothing else
  Scenario: Any split of the bytes gives the same messages
    Then hypothesis finds no split of line-protocol bytes that changes the messages

  Scenario: Hostile bytes give a typed message or a typed error
    Then hypothesis finds no bytes that the line decoder answers with anything else

  Scenario: A message over the bound ends the connection's decoding
    When 1048577 bytes without a line end are fed to the decoder
    Then the decoder says that the message is too long, and that nothing after it can be read

  Scenario Outline: The statement <text>
    When the statement text "<text>" is read
    Then the statement is <result>

    Examples:
      | text | result |
      | BEGIN | a begin that writes |
      | BEGIN READ | a begin that does not write |
      | BEGIN X | unknown |
      | COMMIT | a commit that does not write |
      | COMMIT now | unknown |
      | READ 1a4 | a read that does not write |
      | READ | unknown |
      | WRITE 1a4 two words | a write that writes |
      | SET lang es | a set that does not write |
      | PREPARE s1 WRITE q2c | a prepare that writes |
      | PREPARE s1 NONE q2c | unknown |
      | EXECUTE s1 1a4 | an execute that does not write |
      | EXECUTE s1 | unknown |
      | DEALLOC s1 | a deallocate that does not write |
      | DROP x | unknown |

  Scenario Outline: A target's code <code> on a statement that was sent
    When a target refuses with <code>
    Then the verdict is <verdict> and the caller is told <told>

    Examples:
      | code | verdict | told |
      | BUSY | not_run | BUSY |
      | LAGGING | not_run | LAGGING |
      | READONLY | not_run | READONLY |
      | NOSTMT | not_run | NOSTMT |
      | FAILED | ran | FAILED |
      | TIMEOUT | may_have_run | TIMEOUT |
      | SOMETHING | may_have_run | UNKNOWN |

  Scenario Outline: A registry entry with <fault>
    When a registry entry has <fault>
    Then it names no target

    Examples:
      | fault |
      | no service |
      | an unknown state |
      | an unknown role |
      | a number as address |
      | unreadable bytes |

  Scenario: A bad route is ignored alone
    When a configuration has one good route and one whose timeout is a text
    Then the good route and its organisation are in force

  Scenario: The product does not know the platform's names
    Then no module outside platform/ names a call, code or field of the platform

  Scenario: Two real processes over the line protocol
    Given a real instance with the platform's adapters before stand-ins of the platform and its databases
    When a caller writes, reads, sends malformed lines, an unknown database and an unknown key
    Then each gets its exact answer and the other sessions go on
    And the instance stops at SIGTERM within its grace with exit code 0

  Scenario: Malformed messages to every listener cost one bounded line each, and no process
    Given a real instance with the platform's adapters before stand-ins of the platform and its databases
    When every bad message is sent to each of its listeners
    Then it has written whole lines of at most 500 characters, at most one for each bad message
    And a message that counts less than nothing was refused
    When a caller writes, reads, sends malformed lines, an unknown database and an unknown key
    Then each gets its exact answer and the other sessions go on

  Scenario: A reader of the log lines that falls behind costs lines, never time
    When 5000 lines are logged to a pipe that nobody reads
    Then no line waited, and the first line that fits again says how many were dropped

  Scenario: A start reads no certificate authorities, because no connection uses TLS
    When the deployed program checks its settings
    Then it has read 0 certificates
