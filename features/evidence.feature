Feature: Figures rest on runs that finished

  Scenario: Every journal entry that a page cites is there and finished
    Then each cited entry finished, but for those that are named as unfinished

  Scenario Outline: The check notices <what>
    Given a page that cites an entry that <what>
    Then the page is found at fault

    Examples:
      | what |
      | is missing |
      | did not finish |
      | did not finish though the page says unfinished |
