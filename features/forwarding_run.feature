Feature: The run of a forwarded request

  Scenario Outline: What becomes of a request to one server
    # Two servers could take the request. The first one that is asked does not answer it well. A
    # request that may not run twice has to end there if it may have run; its caller would otherwise
    # get two robots for one order.
    Given 2 servers of "kitchen", of which the one asked first <trouble>
    When a <kind> request is forwarded to "kitchen"
    Then it ends as <outcome>, and <runs> servers have run it

    Examples:
      | trouble                     | kind           | outcome  | runs |
      | is well                     | idempotent     | answered | 1    |
      | is well                     | non-idempotent | answered | 1    |
      | breaks the connection       | idempotent     | answered | 2    |
      | breaks the connection       | non-idempotent | failed   | 1    |
      | answers that it failed      | idempotent     | answered | 2    |
      | answers that it failed      | non-idempotent | failed   | 1    |
      | refuses it without a run    | idempotent     | answered | 1    |
      | refuses it without a run    | non-idempotent | answered | 1    |
      | has gone dark               | idempotent     | answered | 1    |
      | has gone dark               | non-idempotent | timeout  | 0    |

  Scenario: Nobody left to ask is said at once, with a time to come back
    # All servers of an upstream are listed as leaving. A caller that waited until its deadline would
    # have no time left to try again.
    Given 2 servers of "kitchen" that are all leaving
    When an idempotent request is forwarded to "kitchen"
    Then it is refused as not run within 1 ms, with a time to come back

  Scenario Outline: A request that servers refused isn't kept when it can't be sent again
    # The servers are full and refuse it without a run. There is no budget for another try, or nobody
    # else to ask. Kept until its deadline of 8 s, it would be refused all the same; refused now, its
    # caller can try again, and that counts as a new request.
    Given 2 servers of "kitchen" that refuse every request, <state>
    When a <kind> request is forwarded to "kitchen"
    Then it is told within <span> ms that it did not run, with a time to come back

    Examples:
      | state                     | kind           | span |
      | and no budget is left     | idempotent     | 5    |
      | and no budget is left     | non-idempotent | 5    |
      | and there is budget       | idempotent     | 300  |
      | and there is budget       | non-idempotent | 300  |

  Scenario: Too few shards to reach the least coverage is said at once
    # Three of twenty shards have lost all their servers, and eighteen are the least. No answer that
    # counts can come, however long the caller waits.
    Given 20 shards with 2 servers each
    And all servers of 3 shards are leaving
    When a request over all shards is forwarded
    Then it is refused as not run within 1 ms, with a time to come back

  Scenario: Two shards that never answer don't make the answer late
    # All servers of two shards have gone dark, which shows as silence only. Eighteen of twenty parts
    # are enough; the caller has them in time instead of an error at its deadline.
    Given 20 shards with 2 servers each
    And all servers of 2 shards have gone dark
    When a request over all shards is forwarded
    Then it is answered with 18 of 20 parts before its target latency

  Scenario: A late answer leaves as soon as the least coverage is reached
    # Three shards are slow. At the target latency 17 parts are in, one too few; the 18th comes later.
    # From then on nothing is gained by waiting for the rest.
    Given 20 shards with 2 servers each
    And 3 shards answer after 400, 500 and 1500 ms
    When a request over all shards is forwarded
    Then it is answered with 18 of 20 parts between 390 and 430 ms

  Scenario: Coverage is never rounded up
    # 0.89 of 20 shards are 17.8. An answer of 17 parts would be below what the operator declared.
    Then these are the least numbers of parts
      | shards | coverage | parts |
      | 20     | 0.89     | 18    |
      | 20     | 0.75     | 15    |
      | 30     | 0.89     | 27    |
      | 3      | 1.0      | 3     |
      | 5      | 0.0      | 1     |
      | 90     | 0.95     | 86    |

  Scenario: Any faults leave the promises whole
    # Servers break connections, refuse, fail, go dark and answer late in any order.
    Then over random faults a non-idempotent request never runs twice and "not run" is true
    And over random faults no shard is sent to more servers than the route allows

  Scenario: A list that repeats itself changes nothing
    Given 20 shards with 2 servers each
    When the same list of servers is taken again
    Then nothing is new for the connections

  Scenario: A server that fails for days ends no process
    # A listed server takes no connection any more, and every request to it fails. Each failure doubles
    # the time for which it is left alone; without a bound the figure grows past what a number holds,
    # and the host that counts ends with all its requests.
    Given 2 servers of "kitchen", of which the one asked first is well
    When one of them fails 3000 times in a row
    Then it is left alone for 10 s at most

  Scenario: An answer that is finished late makes the next ones leave earlier
    # The parts of a hundred shards come in just when the answer is due, and a small host takes some
    # milliseconds for them and the merge. The caller gets its answer just after the target, again
    # and again, although the least coverage was there in time.
    Given answers of a route that were finished 0, 9, 9, 9, 9, 9, 8 and 60 ms after they had to leave
    Then the next answer leaves 13 ms before its target
    When 20 answers are finished 0 ms after they had to leave
    Then the next answer leaves 4 ms before its target
