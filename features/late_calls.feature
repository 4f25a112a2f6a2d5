Feature: A call that was given up does not take effect later
  A network partition holds bytes up and delivers them when it ends, unless their sender has reset the connection.

  # Guards against a promotion, demotion or statement that runs seconds after its sender has given it up.
  Scenario Outline: The network holds <what>, which <end> before it is delivered
    Given an end behind a link
    When the link holds <what>, which <end>
    Then the end gets nothing of it when the link delivers what it holds

    Examples:
      | what             | end                              |
      | a request        | is given up after its time limit |
      | a promotion      | outlasts its lease               |
      | a promotion      | is sent by a process that is killed |
      | a statement      | is given up after its time limit |
      | a demotion       | outlasts its lease               |
      | a frame for a gateway | is given up as its stream is closed |

  # Guards against a demotion by an instance that does not hold the lease any more.
  Scenario: The lease ends while a demotion waits for a connection
    Given an end behind a link
    When a demotion is requested under a lease that has ended
    Then the demotion has no answer, and the end gets nothing

  # Guards against a promotion that is sent under a lease which ended while its connection was opened.
  Scenario: The lease ends while the connection for a promotion is opened
    Given an end behind a link
    When a promotion is requested under a lease that ends before the connection is open
    Then the answer is that it was not sent, and the end gets nothing

  # Guards against a wait for a promotion's answer that outlasts the lease under which it was sent.
  Scenario Outline: A promotion without an answer is given up when <what>
    Given an end behind a link
    When a promotion stays without an answer, and <what>
    Then its outcome is unknown after <least> to <most> s

    Examples:
      | what                                          | least | most |
      | its lease has 0.4 s left                      | 0.35  | 0.8  |
      | its lease has 0.4 s left and is renewed       | 0.35  | 0.8  |
      | its lease is resigned after 0.1 s             | 0.05  | 0.35 |

  # Guards against the promotion of a former holder that arrives after its successor's.
  Scenario Outline: In a deployment, a cut that holds a promotion ends <when>
    Given a deployment whose coordinator is cut off as it requests a promotion, until <when>
    When it is run on seeds 1 to 3
    Then no seed violated a guarantee

    Examples:
      | when      |
      | later     |
      | successor |
      | killed    |
      | frozen    |

  Scenario: Without the end of a promotion with its lease, the checker finds its late effect
    Given a deployment whose coordinator is cut off as it requests a promotion, until successor
    When it is run on seeds 1 to 3 without the end of a promotion with its lease
    Then a guarantee was violated: one

  # Guards against a hunt that cannot make these events.
  Scenario: Every hunted schedule has a held promotion, and transactions on a primary that is replaced
    When the schedules of seeds 1 to 20 are drawn for a hunt
    Then each has both faults, and their variants all occur

  # Guards against thousands of status requests a second at the targets of a service that is to be led again.
  Scenario: A coordinator whose lease has run out for now pauses before it asks the targets again
    When a coordinator whose lease has run out, and that may still renew it, is to request a promotion
    Then it has requested none, and has paused
