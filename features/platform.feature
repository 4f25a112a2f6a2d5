Feature: The platform's adapters translate names and formats, and do nothing else
  Scenario: Any split of the bytes decodes to the same messages
    Then hypothesis finds no split of line-protocol bytes that changes the messages

  Scenario: Arbitrary bytes decode to a typed message or a typed error
    Then hypothesis finds no bytes that the line decoder turns into anything else

  Scenario: A message over the size limit ends the decoding of its connection
    When 1048577 bytes without a line end are fed to the decoder
    Then the decoder reports that the message is too long, and that nothing after it can be decoded

  Scenario Outline: Parsing the statement <text>
    When the statement text "<text>" is parsed
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

  Scenario Outline: A target answers a statement with the error code <code>
    When a target answers with the error code <code>
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
    Then it is not decoded as a target

    Examples:
      | fault |
      | no service |
      | an unknown state |
      | an unknown role |
      | a number as address |
      | unreadable bytes |

  Scenario: An invalid route is ignored without the rest of its configuration
    When a configuration has one valid route and one whose timeout is a string
    Then the valid route and its organisation are in force

  Scenario: Only the adapters use the platform's names
    Then no module outside platform/ names a call, code or field of the platform

  Scenario: A real process serves the line protocol
    Given a real instance with the platform's adapters and stand-ins for the platform and its database
    When callers write, read, and send malformed lines, an unknown database and an unknown key
    Then each gets its exact answer and the other sessions continue
    And the instance stops on SIGTERM within its grace period with exit code 0

  Scenario: Odd entries of another writer cost only themselves, at the start and later
    Given a real instance in whose store another writer has left odd entries
    When callers write, read, and send malformed lines, an unknown database and an unknown key
    Then each gets its exact answer and the other sessions continue
    And the instance still runs, and has logged each odd entry once as it came
    And the instance stops on SIGTERM within its grace period with exit code 0

  Scenario: A malformed message to any listener logs at most one bounded line and does not end the process
    Given a real instance with the platform's adapters and stand-ins for the platform and its database
    When every malformed message is sent to each of its listeners
    Then it has logged whole lines of at most 500 characters, at most one error or warning for each message
    And a message with a negative count was refused
    When callers write, read, and send malformed lines, an unknown database and an unknown key
    Then each gets its exact answer and the other sessions continue

  Scenario: Logging drops lines instead of blocking when their reader falls behind
    When 5000 lines are logged to a pipe that nobody reads
    Then no line blocked, and the first line that fits again tells how many were dropped

  Scenario: Starting loads no certificate authorities, because no connection uses TLS
    When the deployed program checks its settings
    Then it has loaded 0 certificates
