Feature: Error kinds and their answers

  Scenario: Every error kind has a row in the table of answers
    Then the table of answers has one row for each error kind

  Scenario Outline: A refusal tells whether the request ran
    Then an answer of kind "<kind>" has status <status> and says "<ran>"

    Examples:
      | kind            | status | ran     |
      | overloaded      | 503    | not_run |
      | stopping        | 503    | not_run |
      | outcome_unknown | 504    | unknown |
      | upstream_failed | 502    | ran     |
