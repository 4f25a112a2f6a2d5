Feature: HTTP messages end where a simple model says
  The parser of the listeners and of the client is a library's. What it accepts is compared with a model of its own, so
  that another version of it can't accept more.

  Scenario: A listener handles the requests of the model, however their bytes are split
    Then random streams of requests are handled as the model says, whole and in parts

  Scenario: A client reads the response of the model, however its bytes are split
    Then random streams of responses are read as the model says, whole and in parts

  Scenario: A request arrives as it was to be sent, or is not sent
    Then random requests arrive alone and unchanged, or are refused with an error
