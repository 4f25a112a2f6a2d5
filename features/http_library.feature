Feature: HTTP by the library, between instances, the platform and callers
  The listeners and clients of `make run` use aiohttp. What it does by itself must not send or handle a request twice.

  Scenario Outline: <what> is answered with <status>
    Given an HTTP server that answers everything with <status> and another place
    When <what> is requested
    Then it has failed, and the other place was asked for nothing

    Examples:
      | what                     | status |
      | a forwarded request      | 307    |
      | a forwarded request      | 308    |
      | a write of a row         | 307    |
      | a read of a row          | 302    |
      | a read of a row          | 429    |
      | the storage of an object | 307    |
      | the storage of an object | 429    |
      | the list of instances    | 301    |
      | a status by an operator  | 302    |

  Scenario Outline: The callers' API gets <what> behind a statement
    Given the callers' API with an executor that takes 50 ms
    When it gets a statement and behind it <bytes>
    Then it has run that statement alone, and answered it before the error 400

    Examples:
      | what | bytes |
      | two lengths | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nContent-Length: 13\r\nContent-Length: 14\r\n\r\n{"sql":"no"} |
      | a length and chunks | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nContent-Length: 13\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{"sql":"no"} \r\n0\r\n\r\n |
      | chunks and a length | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 13\r\n\r\nd\r\n{"sql":"no"} \r\n0\r\n\r\n |
      | a bare line feed in a header | POST /v1/r/statements HTTP/1.1\r\nHost: a\nContent-Length: 13\r\n\r\n{"sql":"no"} |
      | bare line feeds | POST /v1/r/statements HTTP/1.1\nHost: a\nContent-Length: 12\n\n{"sql":"no"} |
      | a folded header | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 12\r\n\r\n{"sql":"no"} |
      | a negative length | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nContent-Length: -12\r\n\r\n{"sql":"no"} |
      | a blank before a colon | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nContent-Length : 12\r\n\r\n{"sql":"no"} |
      | a NUL in a header | POST /v1/r/statements HTTP/1.1\r\nHost: a\x00\r\nContent-Length: 12\r\n\r\n{"sql":"no"} |
      | a wrong size of a chunk | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{"sql":"no"}\r\n0\r\n\r\n |
      | a chunk that ends with a line feed | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n{"sql":"no"}\n0\r\n\r\n |
      | another coding | POST /v1/r/statements HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n{"sql":"no"} |
      | no HTTP | \x00\r\n\r\nPOST /v1/r/statements HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n{"sql":"no"} |

  Scenario Outline: The library doesn't take what arrived before its request for the answer, <when>
    Given an HTTP end that answers ok then new, conflict
    When the library sends a write twice, <when>
    Then the results are 200 ok, 409 ok

    Examples:
      | when                                             |
      | and the event loop runs between them             |
      | and the event loop is held up between them       |

  Scenario Outline: A forwarded request gets <answer>
    Given an HTTP server that answers everything with <answer>
    When a forwarded request is requested
    Then it has failed, and may have run

    Examples:
      | answer                            |
      | a change to another protocol      |
      | the answer to another request     |

  Scenario Outline: An operator asks about the subject <subject>
    Given a platform that lists an instance, which keeps the subjects that it is asked about
    When an operator asks about the subject <subject>
    Then the instance was asked about <subject> alone

    Examples:
      | subject      |
      | a            |
      | a/b          |
      | a?b=c#d      |
      | ../status    |
      | a%2Fb        |
      | a b é        |
      | a\r\nB: c    |
