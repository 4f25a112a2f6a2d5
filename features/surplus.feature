Feature: A statement is not answered by what a target sent before it was asked
  Within a transaction, statements use one connection one after the other.

  Scenario Outline: A target that sends <what> behind an answer does not answer the next statement with it
    When a target answers a statement, sends <what>, and is asked again on the same connection
    Then the next statement is not sent and the connection is lost

    Examples:
      | what                      |
      | another answer            |
      | another row               |
      | a part of another message |
      | the end of the connection |
      | another answer with the end behind it |
