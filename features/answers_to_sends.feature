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

  Scenario: The refusal of one caller's request comes again on a connection that another one gets
    # Guards against a request that runs while the refusal of another one, which names no request,
    # is taken for its answer.
    Given 2 servers that always refuse the first request, without an ID, and send a copy of it later
    When 3 unsafe requests are forwarded to them
    Then each of them ran at most once, and none that ran is reported as not run
    And 2 of them ran and were answered

  Scenario: A refusal comes again after many other exchanges
    # Guards against the same, by a server that holds a copy back until the same request comes again,
    # as it does when another host gives a request that was refused to this one once more.
    Given 2 servers that refuse a request, and send a copy of it when it comes again
    When an unsafe request is refused, 150 others are answered, and it is forwarded again
    Then each of them ran at most once, and none that ran is reported as not run
    And 151 of them ran and were answered

  Scenario Outline: A connection on which <count> requests were refused
    # Guards against refusals that are forgotten, or that fill the memory of the host.
    Given a connection to a server
    When the server refuses <count> requests on it
    Then it carries none of them again, and <other> other request

    Examples:
      | count | other |
      | 1     | any   |
      | 63    | any   |
      | 64    | no    |

  Scenario: A server whose answers are out of step on a connection
    # Guards against requests that wait in vain on it, as their answers come one request later.
    Given a server that answers the first request with three of others, and then each one too late
    When 3 unsafe requests are forwarded to it one after another
    Then the first is reported as failed, and the others are answered

  Scenario: Any series of answers and late copies
    # Guards against the same fault in an order that no example has.
    Then no series of refusals, failures, answers and late copies lets an unsafe request run twice

  Scenario: Any answers to requests that run beside each other, some of them sent again
    # Guards against an answer that reaches another request, or another send of the same one, when
    # requests share connections that are cut, spoilt or bring late copies.
    Then in no series of answers, cuts, blanks and copies is a request answered wrongly or run twice

  Scenario Outline: Callers of real hosts whose servers refuse, fail, cut, spoil and repeat answers
    # Guards against the same between processes, with load on shared connections.
    Given 4 hosts before 2 servers that act at random, with seed <seed>
    When 4 callers send 50 orders each
    Then no order ran twice, ran and was refused, or was answered with another one's answer
    And at least 30 of them were answered, so that much was at stake

    Examples:
      | seed |
      | 1    |
      | 2    |
