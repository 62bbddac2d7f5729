Feature: Error catalogue

  Scenario: Every error kind has a row in the error catalogue
    Then the error catalogue has one row for each error kind

  Scenario Outline: The response to a failed request says whether the request ran
    Then the error kind "<kind>" has status <status> and run status "<ran>"

    Examples:
      | kind            | status | ran     |
      | overloaded      | 503    | not_run |
      | stopping        | 503    | not_run |
      | outcome_unknown | 504    | unknown |
      | upstream_failed | 502    | ran     |
