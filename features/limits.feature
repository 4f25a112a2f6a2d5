Feature: Rate and burst hold over the whole fleet
  Every instance admits requests from its own share of the limit. Instances lend each other parts of their shares, and
  the shares never sum to more than the limit.

  @rate
  Scenario Outline: An organisation inside its rate is served when <pattern>
    Given 8 instances in virtual time and "acme" with a rate of 100 and a burst of 100
    When "acme" offers 90 requests/s for 20 s while <pattern>
    Then no time window holds more requests than the rate and the burst allow
    And at most 1% of its requests were refused after 5 s, and after 5 s of each shift

    Examples:
      | pattern                              |
      | its load is spread evenly            |
      | all its load goes to one instance    |
      | its load moves to another instance every 10 s |
      | two instances share its load unevenly |

  @rate
  Scenario: A burst at one instance is served from the shares of the whole fleet
    Given 8 instances in virtual time and "acme" with a rate of 100 and a burst of 100
    When "acme" sends 85 requests at once to one instance
    Then no time window holds more requests than the rate and the burst allow
    And at least 80 of them were served

  @rate
  Scenario: An organisation that exceeds its rate takes nothing from another
    Given 8 instances in virtual time and "acme" with a rate of 100 and a burst of 100
    When "acme" offers 500 requests/s for 12 s while "bolt" offers 90 of its 100
    Then no time window holds more requests than the rate and the burst allow
    And "bolt" was served at least 90% of what it sent
    And "acme" was served at least 90% of its rate

  @rate
  Scenario Outline: The limit holds when <fault>
    Given 8 instances in virtual time and "acme" with a rate of 100 and a burst of 100
    When "acme" offers 400 requests/s for 30 s and after 5 s <fault>
    Then no time window holds more requests than the rate and the burst allow
    And every live instance served requests in the last 5 s

    Examples:
      | fault                                              |
      | two instances die                                  |
      | two instances are paused for 8 s                   |
      | two instances are paused for 40 s                  |
      | a data centre is cut off                           |
      | all data centres are cut off from each other       |
      | the platform goes down                             |
      | two instances die and others take their place      |
      | messages between instances are duplicated          |

  @rate
  Scenario Outline: A changed limit is kept while it rolls out: from <old> to <new>
    Given 8 instances in virtual time and "acme" with a rate of <old> and a burst of <old>
    When "acme" offers 400 requests/s for 12 s and after 5 s its rate and burst become <new>
    Then no time window before the change or from 4 s after it holds more requests than the limit in force allows
    And no time window holds more requests than the larger limit allows

    Examples:
      | old | new |
      | 100 | 40  |
      | 40  | 100 |
