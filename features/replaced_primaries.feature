Feature: A replaced primary tells nothing about its successor
  Transactions may stay open on a primary that is replaced, and its answers still name a position of its log.

  # Guards against reads that go to a replica by positions which a replaced primary has told.
  Scenario Outline: Transactions stay open on a primary while <what>
    Given a deployment with transactions open on a primary, while <what>
    When it is run on seeds 1 to 3
    Then no seed violated a guarantee

    Examples:
      | what                                                       |
      | it is replaced and one of its replicas receives nothing    |
      | their instance is cut off together with it and a replica   |

  Scenario Outline: Without <guard>, the checker finds stale reads while <what>
    Given a deployment with transactions open on a primary, while <what>
    When it is run on seeds 1 to 2 without <guard>
    Then a guarantee was violated: stale

    Examples:
      | guard                                              | what                                                     |
      | the check that a primary led when it was asked     | their instance is cut off together with it and a replica |
      | that check and the probe of a primary of a new term | it is replaced and one of its replicas receives nothing  |

  # Guards against a coordinator that takes positions of the former primary for a reason not to ask the new one.
  Scenario: A new primary is asked although a recent position of its predecessor is known
    When a coordinator that has got a position 0.1 s ago learns of a new primary
    Then it asks the new primary for its position

  Scenario Outline: The position of an answer counts by the permit at the time of sending: <case>
    When a statement was sent <sent> s after its permit was confirmed, <case>
    Then the position of its answer <counts>

    Examples:
      | case                                        | sent | counts         |
      | under the record that is still in force     | 2.3  | is recorded    |
      | after the permit had expired                | 2.5  | is not recorded |
      | under a record that has been closed         | 0.1  | is not recorded |
      | and the same record was confirmed later     | 2.5  | is recorded    |
