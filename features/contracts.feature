Feature: Contract tests of the outside interfaces
  The clauses run against the stand-ins here, and can run against a real implementation instead.

  Scenario Outline: <interface>: <clause>
    Given the stand-in of the <interface>
    Then it fulfils the clause "<clause>"

    Examples:
      | interface | clause |
      | table | a new row is created once |
      | table | a row changes only on its present version |
      | table | an unchanged row is not sent |
      | table | the age of a row counts from its last change |
      | table | a write whose answer is lost is unknown |
      | table | an outage is an error |
      | object store | an object is what was put |
      | object store | an absent object is an error |
      | object store | a damaged object is an error |
      | instance list | instances are listed |
      | database driver | the status reports role and term |
      | database driver | the position grows and is replicated |
      | database driver | a replica refuses writes |
      | database driver | a fenced primary refuses writes |
      | database driver | a promotion requires its fence |
      | database driver | a read-only connection refuses writes |
      | database driver | an open transaction is detected |
      | database driver | a crashed target is lost or unreachable |
      | database driver | a lost connection does not disturb others |
      | database driver | a statement runs in full or not at all |
      | database driver | connections are limited |
