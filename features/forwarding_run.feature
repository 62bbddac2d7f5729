Feature: The run of a forwarded request

  Scenario Outline: Outcomes of a request to one server
    # Two servers could run the request, and the first choice may fail it. A non-idempotent request
    # has to end there if it may have run; its caller would otherwise get two robots for one order.
    Given 2 servers of "kitchen", of which the first choice <behavior>
    When a <kind> request is forwarded to "kitchen"
    Then it ends as <outcome>, and <runs> servers have run it

    Examples:
      | behavior                      | kind           | outcome  | runs |
      | is healthy                    | idempotent     | answered | 1    |
      | is healthy                    | non-idempotent | answered | 1    |
      | breaks the connection         | idempotent     | answered | 2    |
      | breaks the connection         | non-idempotent | failed   | 1    |
      | answers with an error         | idempotent     | answered | 2    |
      | answers with an error         | non-idempotent | failed   | 1    |
      | refuses it without running it | idempotent     | answered | 1    |
      | refuses it without running it | non-idempotent | answered | 1    |
      | does not respond              | idempotent     | answered | 1    |
      | does not respond              | non-idempotent | timeout  | 0    |

  Scenario: A server ends while it runs a request, and is then tried once more
    # It refuses the connection, so the second attempt has certainly not run. Guards against a caller
    # that is told that its request has not run, although the first attempt may have.
    Given 1 server of "kitchen" that ends with each request
    When its connection is lost and no later one opens
    Then the request does not end as not run

  Scenario: A request without any usable server is refused at once, with a retry-after time
    # All servers of an upstream are listed as leaving. A caller that waited until its deadline
    # would have no time left to try again.
    Given 2 servers of "kitchen" that are all leaving
    When an idempotent request is forwarded to "kitchen"
    Then it is refused as not run within 1 ms, with a retry-after time

  Scenario Outline: A refused request that can't be retried is not held until its deadline
    # The servers are full and refuse it without running it. The retry budget is exhausted, or no
    # other server is left. Held until its deadline of 8 s, it would be refused all the same.
    # Refused now, its caller can try again, and that counts as a new request.
    Given 2 servers of "kitchen" that refuse every request, <state>
    When a <kind> request is forwarded to "kitchen"
    Then it is refused within <span> ms as not run, with a retry-after time

    Examples:
      | state                 | kind           | span |
      | and no budget is left | idempotent     | 5    |
      | and no budget is left | non-idempotent | 5    |
      | and there is budget   | idempotent     | 300  |
      | and there is budget   | non-idempotent | 300  |

  Scenario: Too few shards for the minimum coverage are reported at once
    # Three of twenty shards have lost all their servers, and the minimum is eighteen. No successful
    # answer is possible, however long the caller waits.
    Given 20 shards with 2 servers each
    And all servers of 3 shards are leaving
    When a request over all shards is forwarded
    Then it is refused as not run within 1 ms, with a retry-after time

  Scenario: Two shards that never answer don't make the answer late
    # All servers of two shards are unresponsive, without any error. Eighteen of twenty parts are
    # enough; the caller gets them in time instead of an error at its deadline.
    Given 20 shards with 2 servers each
    And all servers of 2 shards do not respond
    When a request over all shards is forwarded
    Then it is answered with 18 of 20 parts before its target latency

  Scenario: A late answer leaves as soon as the minimum coverage is reached
    # Three shards are slow. At the target latency 17 parts have arrived, one too few; the 18th
    # comes later. From then on, waiting for the rest gains nothing.
    Given 20 shards with 2 servers each
    And 3 shards answer after 400, 500 and 1500 ms
    When a request over all shards is forwarded
    Then it is answered with 18 of 20 parts between 390 and 430 ms

  Scenario: Coverage is never rounded up
    # 0.89 of 20 shards are 17.8. An answer of 17 parts would be below the declared coverage.
    Then these are the minimum numbers of parts
      | shards | coverage | parts |
      | 20     | 0.89     | 18    |
      | 20     | 0.75     | 15    |
      | 30     | 0.89     | 27    |
      | 3      | 1.0      | 3     |
      | 5      | 0.0      | 1     |
      | 90     | 0.95     | 86    |

  Scenario: No combination of faults breaks the guarantees
    # Servers break connections, refuse, fail, stop responding and answer late in any order.
    Then over random faults a non-idempotent request never runs twice and "not run" is true
    And over random faults no shard is sent to more servers than the route allows

  Scenario: An unchanged server list changes nothing
    Given 20 shards with 2 servers each
    When the same list of servers is received again
    Then no server state has changed

  Scenario: A server that fails for days doesn't crash the process
    # A listed server accepts no connection any more, and every request to it fails. Each failure
    # doubles the time for which it is ejected; without a limit the number overflows, and the host
    # crashes with all its requests.
    Given 2 servers of "kitchen", of which the first choice is healthy
    When one of them fails 3000 times in a row
    Then it is ejected for at most 10 s

  Scenario: An answer that is finished late makes the next ones leave earlier
    # The parts of a hundred shards arrive just when the answer is due, and a small host takes some
    # milliseconds for them and the merge. Without a lead time the caller would get each answer just
    # after the target, although the minimum coverage was reached in time.
    Given answers of a route that were finished 0, 9, 9, 9, 9, 9, 8 and 60 ms after they were due
    Then the next answer leaves 13 ms before its target
    When 20 answers are finished 0 ms after they were due
    Then the next answer leaves 4 ms before its target
