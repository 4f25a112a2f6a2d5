Feature: Only whole messages of a caller become requests at a target
  A message ends with CR LF. A byte that another program may take for an end is no part of a field.

  @real
  Scenario: A request that stands inside a field of another message runs at no target
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When callers send a request inside each kind of field, before each byte that may end a line
    Then the target has run nothing but what callers sent as messages of their own

  @real
  Scenario: No caller's request runs under an id that names no request of a caller
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When callers send requests under the id of internal statements and under no id
    Then the target has run nothing but what callers sent as messages of their own

  Scenario: Any bytes, in any chunks, decode to the messages that an independent model reads, and to nothing behind an error
    Then hypothesis finds no bytes and chunks that the line decoder reads in another way than the model

  Scenario: A message is encoded as one line that decodes to the same fields, or not at all
    Then hypothesis finds no fields that the encoder sends in another way than the model allows

  Scenario: A message of up to 1 MiB is decoded, and a longer one ends the stream, with its end or without
    Then messages around the longest one are read as the model reads them, in chunks of 1, 4096 and 65536 bytes

  Scenario: Whatever bytes a target answers, a statement gets a whole answer or loses the connection
    Then hypothesis finds no bytes of a target that are taken for another answer than the model reads

  Scenario: A connection on which a target has sent more than its answer is not used again
    When a target answers a statement and sends a part of another message
    Then the statement has its answer, and the connection can't be used again

  @real
  Scenario: The log leads from what a target ran to the session, and to the bytes of the message in it
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When a caller sends several statements in one go, the last of them with a line feed inside
    Then each line about them names the caller, and the bytes of the message in what the caller sent
    And each statement that ran names the connection that the target saw

  @real
  Scenario: A connection that its target leaves within a transaction is used for no other statement
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When a caller reads an item after which the target says that a transaction is open, and then another one
    Then the two reads ran on different connections

  Scenario Outline: A text with <what> cannot end a message early on any connection that the instance writes to
    When a text with <what> is sent in each place that others may have written
    Then each connection gets whole messages with the fields that were meant, or nothing

    Examples:
      | what                    |
      | a line feed             |
      | a carriage return       |
      | a carriage return and a line feed |
      | a NUL                   |
      | more than 1 MiB         |
