Feature: Policies under the loads that they are made for
  Each scenario applies the load or the fault that one policy handles, and checks what callers get.

  Scenario: All instances restart under load, and callers connect before the first configuration arrives
    Given 5 instances in virtual time
    When all instances are killed and 40 callers connect in the first 30 ms after their start
    Then each of them is served within 0.5 s

  Scenario Outline: All instances restart under load, and <count> operations of an organisation arrive in the first 0.1 s
    Given 9 instances with a new token pool for a rate of <rate>, after the previous pool granted all it could
    When each instance requests tokens for its part of <count> operations in 0.1 s
    Then at least <granted> of them get a token at once
    And both pools together granted no more than its limit and the tolerance allow

    Examples:
      | count | rate | granted |
      | 10    | 60   | 10      |
      | 500   | 60   | 10      |
      | 500   | 8    | 5       |

  Scenario Outline: A bucket is exhausted for <ms> ms, and <waiting> operations wait for its tokens at this instance
    Given an instance of 9 whose organisation of a rate of 60 has an exhausted bucket for <ms> ms
    When <waiting> operations wait there, and another one can wait for 160 ms
    Then that one is told to <do>

    Examples:
      | ms  | waiting | do    |
      | 16  | 0       | wait  |
      | 16  | 1       | leave |
      | 300 | 0       | leave |

  Scenario Outline: A statement with <left> ms left finds a target that opens connections slowly
    Given an instance in virtual time with one primary
    When its target does not open a connection for a statement with <left> ms left
    Then other statements <may> go to the target

    Examples:
      | left | may     |
      | 30   | may     |
      | 600  | may not |

  Scenario: A primary stops responding, and every instance releases its permit at once
    Given 9 instances in virtual time
    When a primary stops responding while every instance is reachable
    Then the service has a primary again within 1.6 s

  Scenario: Eight organisations share the few connections of each target
    Given 9 instances in front of targets with 34 connections, and 8 organisations
    When callers read for 10 s
    Then at most 3 connections in 10 statements are new
    And every read is served

  Scenario: There are more instances than a target has connections
    Given 12 instances in front of targets with 10 connections, and 8 organisations
    When callers read for 10 s
    Then targets refuse at most 1 connection in 100 statements
    And every read is served

  Scenario: Callers ask for more than the targets can do, and a full target is not taken for a silent one
    Given 48 instances in front of targets with 2 slots and 40 connections
    When callers read at 2 times the capacity for 4 s, then at 0.5 times for 3 s
    Then no target is paused as silent
    And at least 98 of 100 reads after the overload are served
    And every refusal comes within 0.6 s

  Scenario Outline: A data centre with <coordinator> is cut off, and its instances become unready so that callers go elsewhere
    Given 9 instances in virtual time
    When a data centre with <coordinator> is cut off for 6 s
    Then its instances are unready within 0.9 s
    And the instances elsewhere stay ready

    Examples:
      | coordinator    |
      | no coordinator |

    @known-red
    Examples: The coordinator is cut off too
      | coordinator     |
      | the coordinator |

  Scenario Outline: A data centre is cut off with a primary and <coordinator>, and cannot release its permits
    Given 9 instances in virtual time
    When a data centre is cut off with a primary and <coordinator>
    Then the service has a primary again within <limit> s
    And no two primaries may be used at the same time

    Examples:
      | coordinator        | limit |
      | no coordinator     | 3.2   |
      | the coordinator    | 4.2   |

  Scenario: A coordinator does not know whether its closing of a term took effect
    Given 9 instances in virtual time
    When the table accepts a closing record of the coordinator and its answer is lost
    Then the coordinator confirms that leader for no time after the write

  Scenario: The supplier of tokens stops responding under an even load
    Given 9 instances whose organisation of a rate of 60 is asked for 36 operations a second
    When their supplier of tokens stops responding for 1.1 s
    Then every operation meanwhile gets a token

  Scenario: All instances lose power, and targets count their connections for 3 s more
    Given 9 instances in front of targets with 34 connections, and 8 organisations within a rate of 200
    When all of them lose power while callers read, and restart after 1 s
    Then at least 98 of 100 reads from 0.4 s to 3 s after their restart are served

  Scenario: All instances lose power, and restart with and without keeping idle connections
    When 9 instances lose power and restart on seeds 1 to 4, closing and keeping idle connections
    Then fewer reads are lost when idle connections are closed

  Scenario: A coordinator is cut off right after a renewal that no other instance has seen
    Given 9 instances in virtual time
    When the coordinator is cut off right after the table accepted its renewal
    Then another instance becomes coordinator within 1.8 s

  Scenario: All instances restart while a term is closed, and one of them stays away
    Given 9 instances in virtual time
    When a primary and an instance stop responding, and 1.9 s later all the others are killed for 1 s
    Then the service has a primary again within 4.6 s
    And no two primaries may be used at the same time

  Scenario: A data centre is cut off with the coordinator, and its instances become unready so that callers go elsewhere
    Given 9 instances in virtual time
    When the data centre of the coordinator is cut off
    Then all of its instances are unready within 1.2 s

  Scenario Outline: A data centre of <near> of <count> instances is cut off, and its callers stay within their rates
    When <near> of <count> instances are cut off with their data centre and lose their supplier of tokens
    Then they have a supplier in their data centre within 1.2 s

    Examples:
      | near | count |
      | 3    | 9     |
      | 20   | 59    |
      | 33   | 195   |

  Scenario: Refusals and decisions are counted by second from a log
    When the log of an instance with a refusal, two served statements and a closing is read
    Then second 33 has 2 served, 1 refused at "north" for "no_primary" and 1 decision

  Scenario: The first configuration does not arrive while an instance starts
    Given 60 instances that started at different times without a configuration
    When a session of each waits for it
    Then each wait ends at the same time after the start of its instance

  Scenario: A wait in virtual time ends though its remaining time is one floating-point step
    Given a virtual clock at 7.691928589902193 s
    When a wait repeats until 7.691928589902194 s while others run
    Then it ends after at most 3 turns

  Scenario: Without a fault no instance probes peers for a path out of the data centre
    Given 9 instances in virtual time
    When 6 s without a fault pass and probes of peers are counted
    Then no instance probed its peers

  Scenario: A third of the instances is cut off from the others and the table, so that its callers go elsewhere
    When 8 of 24 instances in all data centres are cut off from the others and the table for 6 s
    Then they are unready within 1.5 s and ask for hardly any callers afterwards
    And no other instance is unready

  Scenario: The table is silent for all instances, and none of them asks callers to go elsewhere
    When the table is silent for 24 instances for 6 s
    Then no other instance is unready
