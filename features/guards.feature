Feature: Each guard is needed: without it the checker finds a violation
  The same run with the guard in place has no violation.

  Scenario Outline: Without <guard>
    When <run> is run with every guard
    Then no violation is found
    When <run> is run without <guard>
    Then a violation is found

    Examples:
      | guard                                                 | run                                                |
      | the permit of an acknowledgement                      | a cut-off primary under permits                    |
      | the wait for old permits                              | a cut-off primary under permits                    |
      | the confirmation by a majority                        | a crash with lagging replicas                      |
      | the check that a status was requested after the write | a status requested before the write                |
      | the fence of a majority                               | a crash with one reachable replica                 |
      | the choice of the most advanced replica               | a crash with one lagging replica                   |
      | the position check of replica reads                   | lagging replicas                                   |
      | the refusal of sessions ahead of the term             | a session ahead of the term                        |
      | the restriction of retries to what has not run        | lost answers of writes                             |
      | the reduction of the lender's own share               | a flood at all instances                           |
      | the lease of a seat                                   | a paused instance whose seat is claimed by another |
      | the wait before a seat is claimed                     | an instance without a seat                         |
      | the order of versions                                 | an old record from a peer                          |
      | the second check of the key                           | a key withdrawn while a write waits                |
      | the bound on the age of keys                          | a key withdrawn behind a partition                 |
      | the exclusion of draining targets                     | a draining replica                                 |
      | the division of connections                           | a flood at all instances                           |
