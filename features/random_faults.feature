Feature: The guarantees hold under random sequences of faults
  Hypothesis generates sequences of faults; the checker examines the whole history at the end of each.

  @read-your-writes @replaced-primary @at-most-once @not-run @rate @configuration
  Scenario Outline: Acknowledgement at the <where>: <examples> sequences of up to <steps> faults
    When <examples> sequences of up to <steps> faults run with acknowledgement at the "<where>"
    Then the checker found no violation in any of them

    Examples:
      | where   | examples | steps |
      | replica | 25       | 30    |
      | primary | 12       | 30    |
