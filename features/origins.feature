Feature: The checker of the emulator traces each statement to the message of a caller

  Scenario Outline: The checker traces a statement that ran <how>
    When a statement runs <how>
    Then the checker says "<fault>"

    Examples:
      | how | fault |
      | as it was sent | |
      | with another text | its caller sent 'READ 1' |
      | under another id | no caller sent a message with this id |
      | under the id of internal statements | no caller sent a message with this id |
      | for another organisation | it ran for other, its caller belongs to another organisation |
