Feature: What one instance sends another arrives as it was sent, or not at all
  A stream is frames with their length; what is no frame ends the stream, and nothing behind it is decoded.

  Scenario: Any frames, cut anywhere, are the same at the other end
    Then hypothesis finds no frames and no chunks that the frame decoder turns into other frames

  Scenario: Of damaged bytes only what a plain model of the format reads is decoded
    Then hypothesis finds no damage after which the frame decoder yields what a plain model doesn't

  Scenario Outline: Nothing behind <bytes> is decoded, neither from the rest of the chunk nor later
    When frames follow <bytes> in the same chunk and in later ones
    Then only the first frame is decoded, and each later chunk is an error

    Examples:
      | bytes                                |
      | a frame of another format version    |
      | a frame that says it is 8 MiB long   |
      | a body that is no JSON               |
      | a body of an unknown kind            |
      | a request without its fields         |
      | an empty body                        |
      | a body with a second value           |

  Scenario: The work of decoding grows with the bytes, not with the frames that wait behind
    When 4000 short frames arrive in one chunk, and one frame of 1 MiB in 256 chunks
    Then the decoder has copied each byte at most 4 times

  Scenario Outline: A frame that the other end would refuse or read as another one is not sent
    When <frame> is sent over a stream, and a sign of life after it
    Then only the sign of life arrives, and the sender knows that the other frame was not sent

    Examples:
      | frame                                             |
      | a statement of 1 MiB of control characters twice  |
      | a text with half of a surrogate pair              |
      | a text whose surrogates are the bytes of a letter |

  Scenario: A statement that is too long for a frame is served another way, and the others on its stream are answered
    Given 8 instances with 12 connections for each target, all of which can be gateways
    When a caller executes a statement whose frame would be too long, while others read over the same gateway
    Then all of them are served, and no stream was ended

  Scenario: An answer that is too long for a frame costs only its own statement
    Given a gateway that is asked over one stream
    When it is asked to write and to read, and the write's answer has 8 rows of 1 MiB
    Then the write ran and its outcome is unknown, and the read is answered

  Scenario Outline: A statement whose number came before runs at no target
    Given a gateway that is asked over one stream
    When it is asked to write under number 7, and then <again>
    Then the first write ran once, and the stream ended as unreadable at the second request

    Examples:
      | again                                               |
      | the same, while it runs                             |
      | the same, after it was answered                     |
      | the same number for another write                   |
      | a lower number for another write                    |
      | a transaction under a number that came before       |
      | a transaction whose number comes after its request  |

  Scenario Outline: A request that contradicts itself, or would end a message early, is refused alone: <what>
    Given a gateway that is asked over one stream
    When it is asked for a read, <what>, and another read
    Then both reads run, and the request between them is refused as malformed and not run

    Examples:
      | what                                   |
      | a request id with another request in it |
      | a request id with a blank              |
      | an empty request id                    |
      | the id of internal requests            |
      | an organisation with a blank           |
      | an organisation with a line feed       |
      | an empty organisation                  |
      | a text with another request in it      |
      | a text with a carriage return          |
      | a text with a NUL                      |
      | an empty text                          |
      | a text that is no statement            |
      | a write that says it is a read         |
      | a read that says it is a write         |
      | a session value outside the values     |
      | a commit outside a transaction         |
      | a value with another request in it     |
      | a value whose name has a blank         |
      | a value without a name                 |
      | an execution without a shape           |
      | an execution with other arguments      |
      | an execution of an empty shape         |
      | a shape with another request in it     |
      | arguments with another request in them |
      | a read with a shape                    |
      | a begin with a text                    |

  Scenario: A malformed request ends its transaction
    Given a gateway that is asked over one stream
    When it begins a transaction, writes in it, and gets a commit with another request in its id
    Then the commit did not run, and the connection of the transaction is closed

  Scenario Outline: An answer that would end a message to the caller early leaves the outcome unknown: <what>
    When a gateway answers a write in a transaction with <what>
    Then the write's outcome is unknown, the target is not blamed, and the transaction is dropped

    Examples:
      | what                                       |
      | a row with a line feed                     |
      | a row with a carriage return               |
      | a row with a NUL                           |
      | a signature with another message           |
      | no signature and no reason                 |
      | a detail with another message              |
      | a refusal whose detail has another message |
      | a line feed in why it was not sent         |
