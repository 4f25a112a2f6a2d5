Feature: Single decisions of the relay
  Scenario: A write whose answer arrives after the permit was released is not acknowledged
    Given an instance in virtual time with one primary
    When a write is answered after the leader record was closed
    Then the caller is told that the outcome is unknown

  Scenario Outline: An instance whose permits have expired refuses at once, <kind>
    Given an instance in virtual time with one primary
    When an instance is cut off from its peers and the table for 7 s and receives a <kind>
    Then it is refused within 10 ms as not run, with a time to retry after

    Examples:
      | kind |
      | write |
      | read |

  Scenario: A refused connection is no proof that an instance ended
    Given an instance in virtual time with one primary
    When permits are collected from a member whose connections are refused
    Then the promoter waits until its permit has certainly expired

  Scenario: Without a fault every instance stays ready, also in the data centre of the coordinator
    Given 9 instances in virtual time
    When 10 s without a fault pass
    Then every instance is ready throughout

  Scenario: An instance that reaches nothing outside its data centre becomes unready
    Given 9 instances in virtual time
    When a data centre is cut off for 6 s
    Then its instances are unready within 2 s, and ready again within 2 s of the end
    And the instances elsewhere stay ready

  Scenario: A table that does not respond makes no instance unready by itself
    Given 9 instances in virtual time
    When the table does not respond for 6 s
    Then every instance is ready throughout

  Scenario Outline: Failure detection of a primary that <seen>
    When the coordinator sees <own> and the others see <others>
    Then the primary is found <status>

    Examples:
      | seen | own | others | status |
      | answers every instance | answered | answered answered | alive |
      | does not respond to the coordinator alone | silent | answered answered | alive |
      | does not respond to any instance | silent | silent idle | dead |
      | refuses every connection | refused | idle idle | dead |
      | did not respond for a moment | brief | idle idle | alive |
      | is cut off from half of the instances | answered | silent silent answered | cut |
      | does not respond to instances that reach nothing | answered | isolated isolated answered | alive |
      | stopped responding together with instances that had reached it | silent | answered@1.3 answered@3.5 | dead |
      | stopped responding to the coordinator and still answers others | silent | answered@3.5 answered@1.1 | alive |
      | refuses the coordinator before others report again | refused | answered@1.0 idle | alive |
      | does not respond to one of nine | answered | silent answered answered answered answered answered answered answered | alive |

  Scenario: Many instances that were cut off with a primary do not delay its replacement
    Given 112 instances in virtual time
    When the data centre of a primary is cut off for 6 s while all its instances reach it
    Then the replacement of the primary begins within 2.5 s

  Scenario Outline: The coordinator lease, <when>
    When the row of the lease was <row> and last changed <age> s ago
    Then another instance <may> take over the lease

    Examples:
      | when | row | age | may |
      | absent | absent | 0 | may |
      | released | free | 0 | may |
      | just renewed | held | 0.5 | may not |
      | when the holder's own use of it has ended | held | 1.3 | may not |
      | not renewed for long | held | 1.6 | may |
      | held by an earlier incarnation of the instance | own | 0 | may |
      | resigned by a message of its holder | resigned | 0.1 | may |

  Scenario: A coordinator that the table rejects is replaced
    Given 9 instances in virtual time
    When the table rejects the coordinator alone for 6 s
    Then another instance becomes coordinator within 1.5 s

  Scenario: An instance whose row was removed has no permit until it is listed again
    Given 9 instances in virtual time
    When an instance is cut off for 22 s, so that its row is removed, and is reconnected
    Then it has no permit while it is not listed, and is listed and has one within 3 s

  Scenario: A coordinator that takes over a change of primary does not restart the wait for permits
    Given 9 instances in virtual time
    When a primary and an instance stop responding, and the coordinator is killed 2 s later
    Then the service has a primary again within 6.5 s

  Scenario: A primary that returns under another id before a promotion leads again
    Given 9 instances in virtual time
    When an instance stops responding, and a primary that returns under another id 1.5 s later
    Then the new id leads the service within 5.5 s

  Scenario: An instance that stopped responding before its primary does not delay the replacement by a whole permit
    Given 9 instances in virtual time
    When an instance stops responding, and 2 s later a primary
    Then the service has a primary again within 3 s

  Scenario Outline: An instance's latest confirmation, <case>
    Given a coordinator that acquired the lease at 10 s and read an instance's row at 11 s
    When <happens>
    Then the instance's latest confirmation is of <at> s

    Examples:
      | case | happens | at |
      | by its own registration | no confirmation is sent | 11 |
      | by the coordinator | it is confirmed at 20 s | 20 |
      | by an older confirmation that follows a newer one | it is confirmed at 20 s and then at 19 s | 20 |
      | by a registration that the coordinator was not told of | its row is rewritten and read at 25 s | 25 |
      | while its row is read again unchanged | its row is read unchanged at 25 s | 11 |

  Scenario: One organisation at seven times its rate over nine instances
    When 9 instances request tokens at 7 times a rate of 40 with a burst of 40 for 12 s
    Then no 5 s see more than 240 operations, and 12 s see at least 450

  Scenario Outline: A flood over many instances that each hold a spare token, <size>
    Given <instances> instances with an open session of an organisation of <rate> operations a second each
    When <normal_s> s of normal load pass, and then the organisation sends 7 times its rate for 6 s
    Then no 5 s see more operations than its limit and the platform's tolerance allow
    And the organisation is then served at least its rate
    And operations under normal load acquire a token at once or when the pool answers

    Examples:
      | size | instances | rate | normal_s |
      | a large organisation everywhere | 195 | 68 | 8 |
      | a small organisation at some    | 35  | 3  | 8 |
      | a few instances                 | 9   | 40 | 8 |

  Scenario: An instance without contact uses its equal share, and the pool grants the rate without that share
    When one of 4 instances stops exchanging, while all offer twice a rate of 40 with a burst of 40
    Then no 5 s see more than 240 operations, and 12 s see at least 450

  Scenario Outline: A read is routed, <case>
    When replicas are <near> and <far> and the primary is idle
    Then the read goes to the <choice>

    Examples:
      | case | near | far | choice |
      | nearest first | idle | idle | near one |
      | around a full target | full | idle | far one |
      | around a target that lags | behind | idle | far one |
      | to the primary when replicas are full | full | full | primary |
      | around a failing target | failing | idle | far one |
      | around a target that fails statements | faulty | idle | far one |
      | to the primary rather than to one that fails statements | faulty | failing | primary |

  Scenario: An instance that changes its supplier counts at only one of the two
    Given two token pools and 4 instances that delegate their shares to the first
    When one instance takes back its share and delegates it to the second
    Then the first pool grants three quarters of a rate and the second a quarter
    When an earlier request of that instance reaches the first pool late
    Then the first pool grants three quarters of a rate and the second a quarter

  Scenario: An instance that knows an earlier list is sent the difference
    Given a known list of 80 entries
    When 2 entries change, 1 is added and 1 is removed
    Then the difference contains 3 entries and 1 removal
    And a reader with an unknown version of the list is sent all 80
    And a reader with the present list is sent nothing

  Scenario Outline: A configuration spreads over <count> instances of a data centre in <steps> steps
    When <count> instances of a data centre choose which instance to ask
    Then one of them asks the table, none is asked by more than 4, and all are reached in <steps> steps

    Examples:
      | count | steps |
      | 1     | 0     |
      | 17    | 2     |
      | 94    | 4     |

  Scenario: A configuration arrives in time though the instance to ask for it does not respond
    Given 12 instances in virtual time
    When the first instance of a data centre goes silent and a key is withdrawn
    Then the other instances of that data centre hold the new configuration within 2 s

  Scenario Outline: A refused operation that was <sent> costs <tokens> of 3 tokens
    Given a session of an organisation with 3 tokens in stock
    When its operation is refused after it was <sent>
    Then the organisation has <left> tokens in stock

    Examples:
      | sent                | tokens | left |
      | sent to no target   | 0      | 3    |
      | sent to some target | 1      | 2    |

  Scenario: A share of the limits is delegated to one supplier at a time
    Given an instance that has delegated its share to one supplier
    When a new coordinator becomes its supplier
    Then it requests nothing from the new supplier until the first has released the share
    And then it requests tokens from it

  Scenario: A share whose delegation failed for want of a connection is delegated to another supplier at once
    Given an instance whose delegation to a supplier failed for want of a connection
    When a new coordinator becomes its supplier
    Then it requests tokens from the new supplier at once

  Scenario: A delegated share returns only after its time, even when a later request finds no supplier
    Given an instance that has delegated its share to one supplier
    When a later request finds no supplier, and a new coordinator becomes its supplier
    Then it requests nothing from the new supplier until the delegation has certainly expired

  Scenario: A share delegated to a supplier that stopped responding returns only after its time
    Given an instance that has delegated its share to one supplier
    When the supplier goes silent, and a new coordinator becomes its supplier
    Then it requests nothing from the new supplier until the delegation has certainly expired
