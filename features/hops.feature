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
