Feature: The judge of histories rejects what must not happen
  A check that cannot fail proves nothing, so each promise has a history that breaks it.

  Scenario Outline: <history>
    When the judge looks at a history in which <history>
    Then it finds "<violation>"

    Examples:
      | history                                 | violation                                        |
      | an acknowledged write is lost           | the acknowledged write a is lost                 |
      | a write ran and was refused as not run  | the write a ran and was refused as not run       |
      | a write stands twice                    | the write a stands 2 times                       |
      | a write ran twice                       | the write a ran 2 times                          |
      | a session misses its own write          | a session did not see its own writes ['a']       |
      | an organisation gets one too many       | acme got 1.00 requests more than rate and burst allow |
      | an instance goes back to an older text  | i1 went back to an earlier text: (1, 2, 1)       |
      | nothing is wrong                        | nothing                                          |
