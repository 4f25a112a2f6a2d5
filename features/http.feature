Feature: HTTP between instances, the table and the promoter
  Instances speak HTTP/1.1 with each other, the table and the promoter. No request that any outsider can send ends a
  process, holds a connection for good or writes more than one bounded log line, and no request is sent twice if the
  first one may have arrived.

  Scenario Outline: The listener gets <what>
    Given a listener that echoes the body of a POST to /echo
    When it gets the bytes <bytes>
    Then it answers with <statuses>
    And it logged at most one line of at most 300 characters
    And it still answers a request on a new connection

    Examples:
      | what | bytes | statuses |
      | a request | POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi | 200 hi |
      | two requests at once | POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\naPOST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb | 200 a, 200 b |
      | a chunked body | POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n | 200 hi |
      | an unknown path | GET /other HTTP/1.1\r\nHost: a\r\n\r\n | 404 |
      | another method | PUT /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n | 404 |
      | no HTTP | \x00\x01\x02\x03\r\n\r\n | 400 |
      | an unreadable length | POST /echo HTTP/1.1\r\nContent-Length: x\r\n\r\n | 400 |
      | a length and chunks | POST /echo HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | an upgrade | GET /echo HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n | 400 |
      | a request that its handler can't serve | POST /fail HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n | 500 |
      | the last request of a connection | POST /echo HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nz | 200 z |

  Scenario Outline: The listener gets <what> behind a request that it answers slowly
    Given a listener that echoes the body of a POST to /echo
    When it gets a request that it answers slowly, and behind it <bytes>
    Then it first answers the slow one: <statuses>
    And it has handled the requests <handled>
    And it logged at most one line of at most 300 characters

    Examples:
      | what | bytes | statuses | handled |
      | the last request and another one | POST /echo HTTP/1.1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nbPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 200 b | a, b |
      | no HTTP and a request | \x00\r\n\r\nPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 400 | a |
      | a bare line feed before a request | POST /echo HTTP/1.1\r\nA: b\nPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 400 | a |
      | two lengths | POST /echo HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 50\r\n\r\ncPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 400 | a |
      | a wrong size of a chunk | POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nbbPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 400 | a |
      | a negative length | POST /echo HTTP/1.1\r\nContent-Length: -1\r\n\r\nPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 400 | a |
      | a folded header | POST /echo HTTP/1.1\r\nContent-Length:\r\n 1\r\n\r\nb | 200 a, 400 | a |
      | an upgrade | POST /echo HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 1\r\n\r\nb | 200 a, 400 | a |
      | a tunnel | CONNECT /echo HTTP/1.1\r\n\r\nPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 400 | a |
      | a compressed body | POST /echo HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nb\r\n0\r\n\r\nPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 501 | a |
      | another version | POST /echo HTTP/2.0\r\nContent-Length: 1\r\n\r\nb | 200 a, 505 | a |
      | no version | GET /echo\r\n\r\nPOST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\nc | 200 a, 505 | a |

  Scenario: No more requests of one read are handled than may wait for their answers
    Given a listener that echoes the body of a POST to /echo
    When a slow request is followed by 40 requests
    Then it handles at most 17 of them, answers those first and the next one with 413

  Scenario Outline: Many bad requests write few lines
    Given a listener that echoes the body of a POST to /echo
    When it gets <bytes> on 60 connections, one after the other
    Then it has logged 20 lines, and then one line that counts 40 more

    Examples:
      | bytes |
      | rubbish\r\n\r\n |
      | POST /fail HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n |
      | POST /peer/news HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n[] |

  Scenario: A request that is longer than the limit is answered before it has arrived
    Given a listener that echoes the body of a POST to /echo
    When it gets 3 MB of a request of 100 MB
    Then it answers with 413

  Scenario: Any bytes are answered or end only their connection
    Given a listener that echoes the body of a POST to /echo
    Then no arbitrary bytes end it

  Scenario Outline: The other end answers with <what>
    Given an HTTP end that answers <answers>
    When a client sends <method> twice
    Then the results are <results>
    And the end got <count> requests on <connections> connections

    Examples:
      | what | answers | method | results | count | connections |
      | lengths | ok, ok | POST | 200 ok, 200 ok | 2 | 1 |
      | chunks | chunked, ok | POST | 200 ok, 200 ok | 2 | 1 |
      | a body without a length | until the end, ok | POST | 200 ok, 200 ok | 2 | 2 |
      | a close after each answer | ok and close, ok | POST | 200 ok, 200 ok | 2 | 2 |
      | half an answer | half, ok | GET | error, 200 ok | 2 | 2 |
      | no HTTP | rubbish, ok | GET | error, 200 ok | 2 | 2 |
      | an end of the kept connection to a read | ok, end, ok | GET | 200 ok, 200 ok | 3 | 2 |
      | an end of the kept connection to a write | ok, end, ok | POST | 200 ok, error | 2 | 1 |
      | silence | silence, ok | POST | timeout, 200 ok | 2 | 2 |
      | bytes that nobody asked for | ok and more, ok | POST | 200 ok, 200 ok | 2 | 2 |
      | an empty line behind an answer | ok and an empty line, ok | POST | 200 ok, 200 ok | 2 | 2 |
      | the beginning of an answer that nobody asked for | ok and part, ok | POST | 200 ok, 200 ok | 2 | 2 |
      | two answers at once | eras 1 and 2, ok | POST | 200 ok of era 1, 200 ok | 2 | 2 |
      | an interim response before the answer | interim and ok, ok | POST | 200 ok, 200 ok | 2 | 1 |
      | an interim response long before the answer | interim then ok, new | POST | 200 ok, 200 new | 2 | 1 |
      | an interim response and no answer | interim and end, ok | POST | error, 200 ok | 2 | 2 |
      | a change to another protocol | another protocol, ok | POST | error, 200 ok | 2 | 2 |
      | no body | no body, ok | POST | 204 , 200 ok | 2 | 1 |
      | a body where there is none | no body and more, ok | POST | 204 , 200 ok | 2 | 2 |
      | a field behind the body | trailer, ok | POST | 200 ok, 200 ok | 2 | 1 |
      | a field twice | two eras, ok | POST | 200 ok of era 1, 2, 200 ok | 2 | 1 |
      | a body that the client can't decode | compressed, ok | POST | error, 200 ok | 2 | 2 |
      | a version that it doesn't speak | HTTP/2.0, ok | POST | error, 200 ok | 2 | 2 |
      | two lengths | two lengths, ok | POST | error, 200 ok | 2 | 2 |
      | bare line feeds | bare line feeds, ok | POST | error, 200 ok | 2 | 2 |
      | a folded field | a folded field, ok | POST | error, 200 ok | 2 | 2 |
      | endless fields | endless fields, ok | POST | error, 200 ok | 2 | 2 |

  Scenario: An answer that arrived before its request is not taken for the answer
    Given an HTTP end that answers ok then new, ok
    When a client sends POST twice, and its event loop is held up between them
    Then the results are 200 ok, 200 ok

  Scenario: A promotion does not count as done by an answer that was under way as it was requested
    Given an HTTP end that answers ok then new, conflict
    When two promotions are requested, one right after the other
    Then the results are accepted, refused

  Scenario: One silent connection is enough to leave the others that were kept
    Given an HTTP end that has answered 3 requests on as many connections, which then go silent
    When a client sends it 2 requests, each with a time limit
    Then the first gets no answer and the second is answered on a new connection

  Scenario: A configuration is fetched on a new connection
    Given an HTTP end that has answered 3 requests on as many connections, which then go silent
    When a client fetches a configuration from it
    Then it is answered at once

  Scenario: A connection that is refused says that nothing was sent
    When a client sends a request to a port at which nobody listens
    Then the error says that nothing was sent

  Scenario Outline: A client is asked to send <what>
    Given an HTTP end that answers ok
    When a client sends <part> as <text>
    Then the error says that nothing was sent
    And the end got 0 requests on 0 connections

    Examples:
      | what | part | text |
      | a path with a line end | path | /x HTTP/1.1\r\nA: b\r\n\r\nGET /y |
      | a path with a blank | path | /x y |
      | a path with a NUL | path | /x\x00 |
      | a path that doesn't begin with a slash | path | x |
      | a method with a line end | method | GET /y HTTP/1.1\r\n\r\nPOST |
      | a header with a line end | header | a\r\n\r\nGET /y HTTP/1.1\r\n\r\n |
      | a header with a line feed | header | a\nB: c |
      | a header with a carriage return | header | a\rB: c |
      | a header with a NUL | header | a\x00 |
      | a header that no byte stands for | header | a\u2028b |
      | a name of a header with a line end | name | A: b\r\nB |
      | a name of a header with a colon | name | A:B |
      | a second length | name | content-length |
      | another coding of the body | name | Transfer-Encoding |
      | an address with a line end | address suffix | \r\n\r\n |
      | an address with a blank | address suffix | \x20 |

  Scenario: An answer with a line end in its media type is not sent
    Given a listener that echoes the body of a POST to /echo
    When it gets the bytes POST /split HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n
    Then it answers with 500
    And it logged at most one line of at most 300 characters
