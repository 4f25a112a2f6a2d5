Feature: The operators' text is checked whole, and every fault is told with its line
  Nothing that a file can hold ends in a traceback.

  Scenario Outline: <fault>
    When a text has <fault>
    Then it is refused at "<path>" because "<message>"
    And the line of the fault is the line of "<path>"

    Examples:
      | fault                                     | path                                          | message                         |
      | an unknown field                          | services.db.colour                            | is not a known field            |
      | a missing field                           | organisations.acme                            | 'burst' is missing              |
      | a rate of zero                            | organisations.acme.rate_per_s                 | > 0.0                           |
      | a name in capitals                        | organisations.ACME                            | is not a name                   |
      | a route to nowhere                        | routes.orders.service                         | there is no service             |
      | services that depend on each other        | services.db.depends_on                        | depends on itself               |
      | a dependency on nothing                   | services.db.depends_on                        | there is no service             |
      | a target in no data centre                | services.db.groups.g1.targets.g1-1.data_centre | there is no data centre        |
      | an address that is no IP number           | services.db.groups.g1.targets.g1-1.address    | is not an IP address            |
      | an address used twice                     | services.db.groups.g1.targets.g1-2.address    | is already used                 |
      | a target id used twice                    | services.db.groups.g2.targets.g1-1            | is already used                 |
      | more slots than connections               | services.db.groups.g1.targets.g1-1.slots      | cannot be used with             |
      | a primary that is no member               | services.db.groups.g1.primary                 | there is no target              |
      | a primary that is draining                | services.db.groups.g1.primary                 | cannot lead                     |
      | an open route without organisation        | routes.public                                 | needs the organisation          |
      | an open route to a keyed service          | routes.public.service                         | would reach the keyed service   |
      | an open route to a keyed dependency       | routes.public.service                         | would reach the keyed service   |
      | a key used by two organisations           | organisations.bolt.keys.main.sha256           | is already used                 |
      | a digest that is none                     | organisations.acme.keys.main.sha256           | 64 hexadecimal digits           |
      | a key for a route that does not exist     | organisations.acme.keys.main.routes           | there is no route               |
      | an organisation in a group that is not there | organisations.acme.groups.db               | has no group                    |

  Scenario: All faults are told at once
    When a text has 3 faults
    Then 3 faults are told, in the order of their lines

  Scenario Outline: validate on <bytes>
    When fescuequayctl validates a file of <bytes>
    Then it exits with <code> and prints FILE:LINE and a sentence, and no traceback

    Examples:
      | bytes                       | code |
      | nothing                     | 2    |
      | binary noise                | 2    |
      | 10 MB of blanks             | 2    |
      | 100000 open brackets        | 2    |
      | a key given twice           | 2    |
      | a comment that never ends   | 2    |
      | an example                  | 0    |

  @real
  Scenario: The command line against a running fleet
    Given 2 real instances
    Then each of these commands does its work
      | command                     | code | prints                 |
      | show                        | 0    | "fleet": "test"        |
      | history --json              | 0    | "author":"test"        |
      | status                      | 0    | leading  term 1        |
      | status --json               | 0    | "text_number":1        |
      | explain g1                  | 0    | first primary seen     |
      | explain nobody-knows-this   | 0    | no instance has recorded |
      | key new                     | 0    | digest                 |
      | diff EDITED                 | 0    | ~ organisations.acme.rate_per_s |
      | apply EDITED --expect 1 --wait | 0 | text 2 applied         |
      | apply EDITED --expect 1     | 3    | text 2, applied by     |
      | apply BROKEN                | 2    | there is no service    |
