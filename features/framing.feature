Feature: Only whole messages of a caller become requests at a target
  A message ends with CR LF. A byte that another program may take for an end is no part of a field.

  @real @known-red
  Scenario: A request that stands inside a field of another message runs at no target
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When callers send a request inside each kind of field, before each byte that may end a line
    Then the target has run nothing but what callers sent as messages of their own

  @real @known-red
  Scenario: No caller's request runs under an id that names no request of a caller
    Given a real instance whose target takes LF, CR and NUL for the end of a line
    When callers send requests under the id of internal statements and under no id
    Then the target has run nothing but what callers sent as messages of their own
