Feature: Settings with texts that end a header, a path or a line early are refused when they are checked
  A name from a settings file is sent in headers and paths, and written to the table and to log lines.

  Scenario Outline: A relaying instance refuses <value> for <setting>
    When the settings of a relaying instance have <value> for <setting>
    Then they are refused in one line that names the file, the line and <setting>

    Examples:
      | setting     | value                       |
      | instance    | a name with a header in it  |
      | instance    | a name with a line feed     |
      | instance    | a name with a NUL           |
      | instance    | a name with a blank         |
      | instance    | a name with a next line     |
      | instance    | an empty name               |
      | instance    | a name of 300 characters    |
      | data_centre | a name with a header in it  |
      | data_centre | a name with a NUL           |
      | data_centre | an empty name               |
      | host        | a name with a header in it  |
      | host        | an address with a line feed |
      | host        | an empty name               |

  Scenario Outline: An address that ends with a line feed is refused
    When the settings of a relaying instance have an address with a line feed for <setting>
    Then they are refused in one line that names the file and <setting>

    Examples:
      | setting   |
      | callers   |
      | readiness |
      | store     |
      | promoter  |

  Scenario Outline: An entry instance refuses <value> for <setting>
    When the settings of an entry instance have <value> for <setting>
    Then they are refused in one line that names the file and <setting>

    Examples:
      | setting     | value                       |
      | instance    | a name with a header in it  |
      | instance    | a name with a NUL           |
      | instance    | an empty name               |
      | data_centre | a name with a header in it  |
      | data_centre | a name with a next line     |
      | platform    | a base with a header in it  |
      | callers     | an address with a line feed |
      | callers     | an address with other digits |
      | peers       | a name with a header in it  |

  Scenario Outline: Sound settings are usable
    When the settings of <kind> instance have nothing odd
    Then they are usable

    Examples:
      | kind       |
      | a relaying |
      | an entry   |
