Feature: Requests and answers inside fields of other messages, in virtual time
  Instances decode callers' bytes with the platform's codec; targets take CR LF, LF, CR or NUL for the end of a line.
  The checker splits the callers' bytes at CR LF itself.

  Scenario Outline: Nothing runs that no caller asked for, and answers are whole, <gateways>
    Given the schedule of a hunt of seed <seed> with nothing but hidden requests and answers
    And its instances connect to targets <gateways>
    When it is run twice over the line protocol
    Then no guarantee was violated
    And at least 20 requests and 5 answers were hidden
    And both runs have the same figures

    Examples:
      | gateways | seed |
      | directly | 3    |
      | through gateways | 2 |

  Scenario Outline: The checker reports a violation without <guard>
    Given the schedule of a hunt of seed 3 with nothing but hidden requests and answers
    When it is run over the line protocol without <guard>
    Then a guarantee was violated: <guarantee>

    Examples:
      | guard | guarantee |
      | the rule that CR LF alone ends a message | unasked |
      | that rule and the check of what is written | unasked |
      | that rule and the check of what is written | mixed |

  # Guards against a hunt that cannot make the event.
  Scenario: Every hunted schedule hides requests and answers, and keeps the faults that it had before
    When the schedules of seeds 1 to 20 are drawn for a hunt
    Then each hides requests and answers, and the other faults are those of schedules without them

  # Guards against a hunt that is green because no message had an encoding.
  Scenario Outline: A hunt says how often the event was made, <with>
    When one day is hunted with the options "<options>"
    Then its report has "<report>"

    Examples:
      | with | options | report |
      | without an encoding | --first 3 | requests inside fields of other messages: 0, none in 1 schedules; answers inside rows: 0 (messages have no encoding without --wire) |
      | a name without a class | --wire features.line_wire | 'features.line_wire' does not have the form module:NAME |
      | no module | --wire features.nothing:Wire | features.nothing cannot be imported: No module named 'features.nothing' |
      | another class | --wire features.line_wire:Recorder | Recorder in features.line_wire is no subclass of fescuequay_emulator.wire.Wire |
