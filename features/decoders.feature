Feature: Every decoder returns a value or raises its own error for any input
  Hypothesis generates random inputs and damages valid ones; the inputs are the same in each run.

  Scenario Outline: The decoder of <what>
    When 400 random and 400 damaged inputs are given to the decoder of <what>
    Then each returned a value or raised the decoder's own error

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
