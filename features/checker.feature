Feature: The history checker reports every kind of violation
  A check that cannot fail proves nothing, so each guarantee has a history that violates it.

  Scenario Outline: <history>
    When the checker examines a history in which <history>
    Then it reports "<violation>"

    Examples:
      | history                                 | violation                                        |
      | an acknowledged write is lost           | the acknowledged write a is lost                 |
      | a write ran and was refused as not run  | the write a ran and was refused as not run       |
      | a write is in the log twice             | the write a is in the log 2 times                |
      | a write ran twice                       | the write a ran 2 times                          |
      | a session misses its own write          | a session did not see its own writes ['a']       |
      | an organisation gets one too many       | acme got 1.00 requests more than rate and burst allow |
      | an instance reverts to an older text    | i1 reverted to an earlier text: (1, 2, 1)        |
      | nothing is wrong                        | nothing                                          |
