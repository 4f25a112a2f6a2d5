Feature: What can't be read or sent harms nobody but the statement that it belongs to

  @real
  Scenario Outline: A statement does not run over and over within its time limit when the answer to <what> can't be read
    Given a real instance whose database answers some statements with what can't be read
    When a caller sends <lines>
    Then the caller is refused, and the database ran it at most 20 times on at most 20 new connections

    Examples:
      | what                           | lines                                                 |
      | a read                         | QUERY r READ unreadable                               |
      | a session value before a write | QUERY s SET v unreadable, then QUERY w WRITE x 1      |
      | a session value before a read  | QUERY s SET v unreadable, then QUERY r READ x         |
      | the beginning of a transaction | QUERY b BEGIN, then QUERY w WRITE x 1                 |

  @real
  Scenario: A prepared statement that can't be sent costs no connection to the target
    Given a real instance whose database answers some statements with what can't be read
    When a caller executes 20 times a prepared statement that is too long to be prepared at a target
    Then each is refused as malformed, and the database accepted at most 3 connections for them

  @real
  Scenario: A request id as long as a message does not make the log line as long
    Given a real instance whose database answers some statements with what can't be read
    When a caller sends a statement that is refused under an id of 1 MiB
    Then no log line is longer than 4096 bytes

  Scenario: A second DONE is not taken for the answer after one without a signature
    When a target answers DONE without a signature and then DONE with one
    Then the connection was lost

  Scenario: Surplus messages of a target are not taken for the answer of the next statement of a transaction
    When a target within a transaction sends another answer behind that of a statement, and the next statement is sent
    Then the next statement doesn't get the surplus as its answer

  Scenario: A commit whose answer can't be passed on gives its connection back once
    Given a session of an organisation with 3 tokens in stock
    When its transaction is committed and the answer can't be passed on
    Then the connection was given back once

  Scenario: Long session values of one caller don't end the stream between instances that all callers share
    When a statement with 8 session values of 1 MiB each is sent to a gateway, and then another message
    Then the gateway reads the message behind it

  Scenario: A commit whose answer can't be read is not said to have no effect
    Given a session of an organisation with 3 tokens in stock
    When its transaction is committed and the target's answer can't be read
    Then its outcome is unknown
    And the connection was given back once

  Scenario: A session that ends behind an undecodable message gives up the connection of its transaction
    Given a session of an organisation with 3 tokens in stock
    When it writes in a transaction and sends what can't be decoded
    Then the connection was given back once

  Scenario: An answer at a gateway that can't be read does not count as a lost target
    When the target of a gateway answers a read with what can't be read
    Then the instance that asked gets it as an answer with an unknown outcome, and the gateway goes on using the target
