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
      | registry entries        |
      | configurations          |
      | evacuations             |
      | rows of the system      |
      | answers of the table    |
      | eras of the table       |
      | exchanges               |
      | answers to exchanges    |
      | frames between instances |
      | lines of callers        |
      | status rows             |
      | log positions           |

  Scenario: Each odd registry entry describes no target
    When another writer leaves each of the odd registry entries
    Then none of them describes a target, and a complete entry still does

  Scenario: A key that would end the opening message early is no target's id
    When another writer leaves complete registry entries under odd keys
    Then none of them describes a target, and a complete entry still does

  Scenario: An entry at which its decoder fails is ignored alone
    Given a feed of 3 entries whose decoder fails at the second one
    When the feed is read as a whole, and then its changes
    Then both have the first and the third entry, and the second one as missing

  Scenario: Odd rows of the system's own table are ignored
    When another writer leaves each of the odd rows among those of the system
    Then the other rows are read, and everything that was read can be sent on

  Scenario: A name or address of an instance that would end a header early names no instance
    When another writer leaves members and leases with odd names and addresses, and instances send them
    Then none of them is read, and sound ones, a lease that nobody holds and news of nobody still are

  Scenario: One odd entry of a configuration costs only itself
    When the operators' row has odd entries in each list, a field that is nested too deep, and half a character
    Then all other routes, services and organisations are in force

  Scenario Outline: A connection to <address> is refused as unreachable, <by>
    When a connection to <address> is opened by <by>
    Then it fails as one to an unreachable end

    Examples:
      | address | by |
      | 127.0.0.1:99999 | the driver of targets |
      | 127.0.0.1:x | the driver of targets |
      | 127.0.0.1 | the HTTP client |
      | 127.0.0.1:99999 | the HTTP client |
      | 127.0.0.1:65535 | the streams to gateways |
