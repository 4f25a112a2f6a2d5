Feature: An event is one line, whatever texts it holds
  Texts of callers, targets and other instances are logged so that none of them forges a pair or a line.

  Scenario: Any text is read back from its line, and forges nothing
    Then hypothesis finds no texts that a reader of log lines doesn't read back as they were

  Scenario Outline: A text with <what> stays in its line and its pair
    When an event is logged with a text that has <what> before other pairs
    Then it is one line of five pairs, for each way of splitting a text into lines

    Examples:
      | what                  |
      | a line feed           |
      | a carriage return     |
      | a vertical tab        |
      | a form feed           |
      | a file separator      |
      | a group separator     |
      | a record separator    |
      | a next line           |
      | a line separator      |
      | a paragraph separator |
      | a no-break space      |
      | a NUL                 |
      | an escape             |
      | half a character      |
      | a quote               |
      | a backslash           |

  Scenario: A text that is long is cut, and the line says how much
    When an event is logged with a request id of 1 MiB
    Then its line has at most 1200 characters, and says how many were cut off

  Scenario: An ordinary line costs one check for each value
    When an event is logged with ordinary values
    Then none of them was looked at character by character

  Scenario: The losses of a day aren't changed by a quote in a text
    When the losses are read from a line whose detail has a quote and another reason
    Then the reason of the line is the one that was logged
