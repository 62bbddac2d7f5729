Feature: The entry's core under any order of events

  Scenario: Each request is answered once, truly, and nothing is left behind
    # Queries, dispatches, losses, maps, leases, stops and resends come in any order.
    Then each request has one true answer and nothing is left behind, for any order of events

  Scenario: The dump is plain data of a bounded size
    Then the core's dump is plain data and stays bounded with 2000 requests under way
