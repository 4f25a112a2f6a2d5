Feature: What fescuequay needs of each outside interface
  The clauses run against the stand-ins here; a real implementation can take their place.

  Scenario Outline: <interface>: <clause>
    Given the stand-in of the <interface>
    Then it keeps the clause "<clause>"

    Examples:
      | interface | clause |
      | table | a new row is created once |
      | table | a row changes only over its version |
      | table | an unchanged row is not sent |
      | table | the age of a row counts from its change |
      | table | a lost answer is unknown |
      | table | an outage is an error |
      | object store | an object is what was put |
      | object store | an absent object is an error |
      | object store | a damaged object is an error |
      | instance list | instances are listed |
      | database driver | the status tells role and term |
      | database driver | the position grows and is replicated |
      | database driver | a replica refuses writes |
      | database driver | a fenced primary refuses writes |
      | database driver | a promotion needs its fence |
      | database driver | a read-only connection refuses writes |
      | database driver | a left transaction is noticed |
      | database driver | a crashed target is lost or unreachable |
      | database driver | a lost connection disturbs no other |
      | database driver | connections are bounded |
