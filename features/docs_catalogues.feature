Feature: The generated reference pages agree with the code

  Scenario Outline: A generated page is up to date
    # Guards against a log event or an error kind that is added without its page. An operator could
    # then not look up a number from a log. "make catalogues" generates the pages.
    Then the catalogue page "<page>" equals the output of the generator

    Examples:
      | page        |
      | COMMANDS.md |
      | ERRORS.md   |
      | EVENTS.md   |
      | METRICS.md  |
      | SETTINGS.md |

  Scenario: Numbers of log events are unique and in a known range
    Then no two log events have the same number and each is in a known range

  Scenario: Every metric of the catalogue is used in the code
    Then each metric of the catalogue is used in the code

  Scenario: Relative links in the documentation point to existing files
    Then each relative link in the documentation points to a file that exists
