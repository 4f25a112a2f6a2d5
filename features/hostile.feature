Feature: The real core under hostile orders
  Hypothesis makes up orders of faults; the judge looks at the whole history at the end of each.

  @read-your-writes @replaced-primary @at-most-once @not-run @rate @configuration
  Scenario Outline: Acknowledgement at the <where>: <examples> orders of up to <steps> faults
    When <examples> orders of up to <steps> faults run with acknowledgement at the "<where>"
    Then the judge found nothing wrong in any of them

    Examples:
      | where   | examples | steps |
      | replica | 25       | 30    |
      | primary | 12       | 30    |
