Feature: The policy under load and faults, on a virtual clock

  Scenario Outline: Two faults at once break none of the promises
    # Failures don't wait for each other: a zone goes while the indexes change, hosts leave while the
    # tier is overloaded, connections fall silent while hedges are out. Answers must still be of one
    # snapshot with their true coverage, "not run" must be true, each caller gets one answer, and a
    # leaving server gets nothing after a few seconds.
    When the policy runs over 12 entries through "<scenario>"
    Then the policy broke no promise and answered at least <share> of the queries in full

    Examples:
      | scenario              | share |
      | zone lost and version | 0.99  |
      | leaving and overload  | 0.3   |
      | silent and hedging    | 0.99  |

  Scenario: One seed gives the same figures each time
    When the policy runs twice with one seed
    Then both runs of the policy give the same figures

  Scenario: A straggling server costs our tail much less than a naive one's
    # Two requests in a hundred take ten times as long. A query over twenty shards meets one of them
    # in a third of all cases, and a guest waits.
    When the policy and a naive entry meet the same arrivals at load 0.3
    Then the policy's p99 is below 0.4 of the naive one's with at most 0.05 extra load
