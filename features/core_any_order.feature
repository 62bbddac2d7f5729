Feature: Events of the entry's core in any order

  Scenario: Each request gets one correct answer and no state is left behind
    # Queries, dispatches, losses, maps, leases, stops and resends arrive in any order.
    Then each request has one correct answer and no state is left, for any order of events

  Scenario: Ended queries leave no timers until their deadlines
    # Callers set deadlines of ten minutes and are answered in milliseconds. State that a query keeps
    # until its deadline accumulates, and a small host runs out of memory at peak load.
    Then the core holds few timers after 5000 short queries with long deadlines

  Scenario: Ended queries are released before their deadlines
    # Callers set deadlines of ten minutes and get large answers in milliseconds, while one query is
    # slow. If the rows of the shards were referenced until the deadline, the memory of an entry would
    # grow with its query rate.
    Then the core holds no ended query after 50 short ones beside a slow one

  Scenario: The dump is plain data of a bounded size
    Then the core's dump is plain data and stays bounded with 2000 running requests
