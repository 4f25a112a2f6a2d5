Feature: Every decoder gives a value or a typed error, whatever the bytes
  Hypothesis makes up bytes and damages valid ones; the same each time.

  Scenario Outline: The decoder of <what>
    When 400 made-up and 400 damaged inputs are given to the decoder of <what>
    Then each gave a value or the decoder's own error

    Examples:
      | what                    |
      | texts                   |
      | session tokens          |
      | peer messages           |
      | fleet records           |
      | forwarded requests      |
      | forwarded answers       |
      | objects                 |
      | statements of callers   |
      | settings                |
