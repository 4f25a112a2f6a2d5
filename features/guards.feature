Feature: Each guard is needed: without it the judge finds a broken promise
  The same run with the guard in place is clean.

  Scenario Outline: Without <guard>
    When <run> is run with every guard
    Then nothing is found
    When <run> is run without <guard>
    Then something is found

    Examples:
      | guard                                                | run                                            |
      | the permit of an acknowledgement                     | a cut-off primary under permits                |
      | the wait for old permits                             | a cut-off primary under permits                |
      | the evidence of a majority                           | a crash with lagging replicas                  |
      | statuses asked only after the write                  | a status that was asked before the write       |
      | the fence of a majority                              | a crash with one replica in reach              |
      | the choice of the most advanced replica              | a crash with one lagging replica               |
      | the position check of replica reads                  | lagging replicas                               |
      | the refusal of sessions ahead of the term            | a session that is ahead                        |
      | retries only of what has not run                     | answers of writes that are lost                |
      | the lender's own reduction                           | a flood at all instances                       |
      | the lease of a seat                                  | a paused holder whose seat is taken            |
      | the wait before a seat is taken                      | an instance without a seat                     |
      | the order of versions                                | an old record from a peer                      |
      | the second check of the key                          | a key withdrawn while a write waits            |
      | the bound on the age of keys                         | a key withdrawn behind a partition             |
      | the exclusion of draining targets                    | a draining replica                             |
      | the division of connections                          | a flood at all instances                       |
