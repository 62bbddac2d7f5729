Feature: Hedging of slow shard requests

  Scenario: A straggler is hedged and cancelled
    # One server stalls on one request. Without a hedge the whole query waits for that shard.
    Given a core that has run 200 queries over 4 shards of about 5 ms
    When all but one shard of a query answer and 12 ms pass
    Then a hedge of the last shard is in flight on another server
    When the hedge answers
    Then the query is complete and the first attempt was cancelled

  Scenario: Hedges stay within their budget
    # All servers become slow at once, so that every request looks like a straggler. Unbounded
    # hedges would double the load.
    Given a core that has run 200 queries over 4 shards of about 5 ms
    When 500 queries run with every answer taking 80 ms
    Then the core has sent at most 1.055 times the shard requests needed

  Scenario: A rule without hedges sends none
    Given a core without hedges that has run 200 queries over 4 shards of about 5 ms
    When all but one shard of a query answer and 30 ms pass
    Then no hedge is in flight

  Scenario: A non-idempotent request is never hedged
    # A hedge of a dispatch would send two robots to one room.
    Given a core that has run 200 queries over 4 shards of about 5 ms
    When a dispatch is claimed and sent and 200 ms pass
    Then no hedge is in flight

  Scenario: The delay grows as the budget empties
    # With a short fixed delay the budget is spent on requests that do not delay their query, and
    # no tokens are left for one that does.
    Given a core that has run 200 queries over 4 shards of about 5 ms
    Then a hedge is sent later when the budget is nearly empty than when it is full

  Scenario: A hedge that cannot return before the deadline is not sent
    Given a core that has run 200 queries over 4 shards of about 5 ms
    When all but one shard of a query with a deadline of 12 ms answer and 11 ms pass
    Then no hedge is in flight

  Scenario: Control disables hedges for the whole tier
    # The upstreams are short of slots and an operator sets the tier's hedge budget to 0. The
    # budgets of the rules may not exceed it.
    Given a core that has run 200 queries over 4 shards of about 5 ms
    And control has set the core's budgets to 0 for hedges and 0.1 for retries
    When 200 queries run with every answer taking 80 ms
    Then the core has sent at most 1.06 times the shard requests needed
    And since then the hedge budgets have earned no tokens
