@real
Feature: The guarantees hold for the real programs
  Real processes over loopback; databases, platform and balancer are stand-ins that can inject faults.

  Background:
    Given 3 real instances
    And the table "prices" exists

  @no-mixing @whole-answer
  Scenario: Statements that change the connection leave nothing behind for the next caller
    When statements that begin transactions or change settings are sent through i1
    Then the next 20 statements through i1 see none of that
    And 60 concurrent reads each get their own answer

  @whole-answer
  Scenario: Answers keep every digit and are complete or refused
    When values of each type are written and read back
    Then they come back digit for digit
    And an answer beyond the limit is refused as too large

  @at-most-once @not-run
  Scenario: An idempotency key returns the first answer, and refuses another request
    When the same order is sent 5 times at once under one idempotency key to three instances
    Then it is stored once, and the others repeat the first answer
    And the same key with other statements is refused with "idempotency_key_reused"

  @at-most-once
  Scenario: An instance that dies in the middle of a transaction leaves no part of it
    When i2 is killed in the middle of an interactive transaction
    Then nothing of the transaction is stored, and another instance can write the same row
    And its transaction is refused as unknown or out of reach, not run

  @not-run
  Scenario: Batches are atomic, and a write that is declared a read does not run
    When a batch fails at its second statement
    Then nothing of the batch is stored, and the refusal says not run
    And a write that is declared a read is refused and has not run
    And a batch that contains a commit is refused with a verdict that it may have run

  @read-your-writes
  Scenario: An interactive transaction works through another instance
    When a transaction is begun at i1, used at i3 and committed at i2
    Then its rows are read through i2 with the session of the commit

  @replaced-primary @read-your-writes
  Scenario: The primary is cut off while it still leads
    When writes go on at every instance while the primary is cut off
    Then every acknowledged write is read back
    And writes went on in the next term

  @key-secrecy
  Scenario: The key's bytes are in no log, metric, error, target or platform row
    When requests with keys succeed and fail at every instance
    Then no log, metric, status, reply, row or target contains a key

  @key-withdrawn @configuration
  Scenario: A key is withdrawn while callers that use it are connected
    When callers use the key of "bolt" on open connections while it is withdrawn
    Then no request with it is served once every instance has the text

  @configuration
  Scenario: Two operators apply at once
    When two operators apply different texts that they edited from the same one
    Then one is applied, and the other is told which text was applied and how it differs

  @rate
  Scenario: An organisation's burst counts over all instances
    When "acme" gets a rate of 10 and a burst of 20 and sends 150 requests at once to all instances
    Then no more than rate and burst allow were served

  @leaving-target
  Scenario: A draining replica gets no new work
    When callers read while "g1-2" is marked as draining
    Then it serves no read once every instance has the text

  @graceful-stop @known-red
  Scenario: SIGTERM leaves no request unanswered
    When i2 is stopped while callers write through the balancer
    Then every write was answered with success, and i2 exited with code 0

  @key-scope
  Scenario Outline: Invalid input: <what>
    When i1 is sent <what>
    Then it is answered with <status> and a problem document, and i1 still serves

    Examples:
      | what                        | status |
      | JSON that ends too early    | 400    |
      | JSON of the wrong shape     | 400    |
      | an unknown field            | 400    |
      | a body of 3 MB              | 413    |
      | a body that is incomplete   | 408    |
      | a body declared over the limit | 413 |
      | a forged session            | 400    |
      | a foreign session           | 403    |
      | a wrong method              | 405    |
      | a path that does not exist  | 404    |
      | deeply nested JSON          | 400    |
      | an unknown key              | 401    |

  @no-mixing
  Scenario: Connections that stopped responding are detected and replaced
    When every open connection of "g1-1" stops responding
    Then writes are served again

  @whole-answer
  Scenario: The OpenAPI description matches the interface
    Then every path of the OpenAPI description is served, and no other
