Feature: Figures on the pages cite journal entries of finished runs

  Scenario: Every journal entry that a page cites exists and finished
    Then each cited entry finished, except those that the page calls unfinished

  Scenario Outline: The check reports a cited entry that <what>
    Given a page that cites an entry that <what>
    Then the check reports the page

    Examples:
      | what |
      | is missing |
      | did not finish |
      | did not finish though the page says unfinished |
