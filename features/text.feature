Feature: The operators' configuration text is checked as a whole, and every fault is reported with its line
  No content of a file causes a traceback.

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
      | a route to an unknown service             | routes.orders.service                         | there is no service             |
      | services that depend on each other        | services.db.depends_on                        | depends on itself               |
      | a dependency on an unknown service        | services.db.depends_on                        | there is no service             |
      | a target in an unknown data centre        | services.db.groups.g1.targets.g1-1.data_centre | there is no data centre        |
      | an address that is not an IP address      | services.db.groups.g1.targets.g1-1.address    | is not an IP address            |
      | an address used twice                     | services.db.groups.g1.targets.g1-2.address    | is already used                 |
      | a target id used twice                    | services.db.groups.g2.targets.g1-1            | is already used                 |
      | more slots than connections               | services.db.groups.g1.targets.g1-1.slots      | cannot be used with             |
      | a primary that is not a member            | services.db.groups.g1.primary                 | there is no target              |
      | a primary that is draining                | services.db.groups.g1.primary                 | cannot lead                     |
      | an open route without organisation        | routes.public                                 | needs the organisation          |
      | an open route to a keyed service          | routes.public.service                         | would reach the keyed service   |
      | an open route to a keyed dependency       | routes.public.service                         | would reach the keyed service   |
      | a key used by two organisations           | organisations.bolt.keys.main.sha256           | is already used                 |
      | an invalid digest                         | organisations.acme.keys.main.sha256           | 64 hexadecimal digits           |
      | a key for an unknown route                | organisations.acme.keys.main.routes           | there is no route               |
      | an organisation in an unknown group       | organisations.acme.groups.db                  | has no group                    |

  Scenario: All faults are reported at once
    When a text has 3 faults
    Then 3 faults are reported in the order of their lines

  Scenario Outline: The command validate with a file of <bytes>
    When fescuequayctl validates a file of <bytes>
    Then it exits with <code> and prints FILE:LINE and a sentence, and no traceback

    Examples:
      | bytes                       | code |
      | nothing                     | 2    |
      | binary noise                | 2    |
      | 10 MB of spaces             | 2    |
      | 100000 open brackets        | 2    |
      | a duplicate key             | 2    |
      | an unterminated comment     | 2    |
      | an example                  | 0    |

  @real
  Scenario: The command line against a running fleet
    Given 2 real instances
    Then each of these commands exits and prints as listed
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
