Feature: Second copies of slow shard requests

  Scenario: A straggler is overtaken by a second copy and cancelled
    # One server stalls on one request. The query has everything else; without a second copy a guest
    # waits for that one shard.
    Given a core that has seen 200 queries over 4 shards of about 5 ms
    When all but one shard of a query answer and 12 ms pass
    Then a second copy of the last shard is out on another server
    When the second copy answers
    Then the query is whole and the first copy was cancelled

  Scenario: Hedges stay within their budget
    # All servers become slow at once. Every request looks like a straggler; without a bound the
    # hedges would double the load.
    Given a core that has seen 200 queries over 4 shards of about 5 ms
    When 500 queries run there with every answer taking 80 ms
    Then the core has sent at most 1.055 times the shard requests needed

  Scenario: A rule without hedges gets none
    Given a core without hedges that has seen 200 queries over 4 shards of about 5 ms
    When all but one shard of a query answer and 30 ms pass
    Then no second copy is out

  Scenario: A request that may not be repeated is never hedged
    # A second copy of a dispatch sends two robots to one room.
    Given a core that has seen 200 queries over 4 shards of about 5 ms
    When a dispatch is claimed and sent and 200 ms pass
    Then no second copy is out

  Scenario: The delay follows the budget
    # With a fixed early delay the budget is spent on requests that don't decide a query, and nothing
    # is left when one does.
    Given a core that has seen 200 queries over 4 shards of about 5 ms
    Then a hedge comes later when the budget is nearly empty than when it is full

  Scenario: A hedge is not sent when it can't be back before the deadline
    Given a core that has seen 200 queries over 4 shards of about 5 ms
    When all but one shard of a query with a deadline of 12 ms answer and 11 ms pass
    Then no second copy is out

  Scenario: Control takes the hedges back for the whole tier
    # The upstreams are short of slots for a night. An operator sets the tier's budget to nothing;
    # the rules' own budgets may not go over it.
    Given a core that has seen 200 queries over 4 shards of about 5 ms
    And control has set the core's budgets to 0 for hedges and 0.1 for retries
    When 200 queries run there with every answer taking 80 ms
    Then the core has sent at most 1.06 times the shard requests needed
    And since then the core's hedges have earned nothing
