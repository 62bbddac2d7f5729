Feature: An answer belongs to one send of a request, not just to its ID

  Scenario Outline: A faulty server repeats <refusal> where the next answer is due
    # Guards against an unsafe request that runs on two servers and is then reported as not run: the
    # copy of a refusal would be taken for the answer to the same request, sent again.
    Given 2 servers that refuse each request once, with <refusal>, and send a copy of it later
    When 8 unsafe requests are forwarded to them
    Then each of them ran at most once, and none that ran is reported as not run
    And <number> of them ran and were answered

    Examples:
      | refusal               | number |
      | a 503 with the ID     | 8      |
      | a 503 without an ID   | 8      |
      | a 429 with the ID     | 8      |
      | a 421 with the ID     | 0      |
      | a 421 without an ID   | 0      |

  Scenario: Any series of answers and late copies
    # Guards against the same fault in an order that no example has.
    Then no series of refusals, failures, answers and late copies lets an unsafe request run twice
