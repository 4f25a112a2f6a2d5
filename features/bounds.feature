Feature: What waits is bounded in large fleets
  The instance that coordinates has hundreds of partners. What it sends them grows with what has changed, not with the
  number of services or instances, and what they don't read is bounded in size and time.

  Scenario: Hundreds of instances start within one exchange
    Given a list of 100 entries that a reader knows
    When 500 entries are added one after the other
    Then the reader is sent 500 entries, and readers of the same state share one difference

  Scenario: An entry goes and comes back between two exchanges
    Given a list of 100 entries that a reader knows
    When an entry is removed and added with its earlier state
    Then the reader has the present list

  Scenario: An instance that knows most leader records is sent the others
    Given leader records of 40 services that another instance knows
    When one of them changes
    Then the other instance is sent that one, and one of unknown records is sent all

  Scenario: A record that is learnt while a request is under way is not confirmed by its answer
    Given a fleet of 40 services and 3 instances on the model
    When an instance learns of a newer record while its exchange is under way
    Then the answer confirms only the records that it knew when it asked

  Scenario Outline: <services> records are confirmed <how>
    Given a fleet of <services> services and 3 instances on the model
    When the coordinator answers exchanges at 0, 10 and 30 ms
    Then the records in its answers are <ages> ms old

    Examples:
      | services | how | ages |
      | 40 | once for all answers within a moment | 0, 10, 0 |
      | 2 | for each answer | 0, 0, 0 |

  Scenario: Messages do not grow with the number of services
    Given a fleet of 40 services and 10 instances on the model
    When it runs for 6 s in calm weather
    Then an exchange takes less than 3 KB on average

  Scenario: A registry finds the targets of a service as they change
    Given a registry of 3 targets of one service
    When one is removed, one moves to another service and one changes its role
    Then the services have 1 target each, and the registry has 2

  Scenario: A client that does not read its answers
    Given a listener with answers of 8 MB
    When a client sends 10 requests and reads nothing
    Then it handles at most 2 of them and resets the connection within 4 s

  Scenario: Too much waits to be sent on all connections
    Given a listener with answers of 8 MB
    When 6 clients send a request and read nothing
    Then a further request is refused at once with 503

  Scenario: More connections than a listener may hold
    Given a listener that holds 3 connections
    When 5 clients connect one after the other
    Then the 2 that were idle for longest are closed, and the last is answered

  Scenario: Connections to peers that are not asked again
    Given a client that keeps connections for 0.2 s
    When it asks one peer once, and another one for 0.5 s
    Then it has closed the connection to the first one

  Scenario: News to a peer that is slow
    Given a peer that takes 100 ms to answer news
    When 20 configurations are announced to it within a moment, and then a resignation
    Then it has got 2 messages, and the last names the newest configuration and the resignation
