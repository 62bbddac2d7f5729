Feature: The pages of closed lists are equal to the code

  Scenario Outline: A page shows what the code has
    # Somebody adds a log event or an error kind and forgets its page. On call, at night, a number in
    # a log then stands nowhere. "make catalogues" writes the pages anew.
    Then the catalogue page "<page>" is what the code gives

    Examples:
      | page        |
      | COMMANDS.md |
      | ERRORS.md   |
      | EVENTS.md   |
      | METRICS.md  |
      | SETTINGS.md |

  Scenario: Numbers of log events are unique and in the range of their part
    Then no two log events have the same number and each is in a known range

  Scenario: Every metric of the catalogue is set somewhere in the code
    Then each metric of the catalogue is used in the code

  Scenario: Links between the pages lead somewhere
    Then each relative link in the catalogue of docs leads to a file that exists
