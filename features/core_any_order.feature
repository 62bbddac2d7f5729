Feature: The entry's core under any order of events

  Scenario: Each request is answered once, truly, and nothing is left behind
    # Queries, dispatches, losses, maps, leases, stops and resends come in any order.
    Then each request has one true answer and nothing is left behind, for any order of events

  Scenario: Queries that have ended leave nothing behind until their deadlines
    # Callers ask for ten minutes and are answered in milliseconds. Whatever a query leaves until its
    # deadline adds up, and the small host runs out of memory at the busiest hour.
    Then the core holds few timers after 5000 short queries with long deadlines

  Scenario: A query that has ended is forgotten before its deadline
    # Callers ask for ten minutes and get large answers in milliseconds, while one query is slow. If
    # something keeps the shards' rows until the deadline, an entry's memory follows its rate of
    # queries, and seems to grow without an end while that rises.
    Then the core holds no ended query after 50 short ones beside a slow one

  Scenario: The dump is plain data of a bounded size
    Then the core's dump is plain data and stays bounded with 2000 requests under way
