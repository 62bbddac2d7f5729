Feature: A planned stop of an entry interrupts no request

  Scenario: An entry stops while callers use it
    # A host is restarted for a kernel update under load. Callers have cached the address of its
    # entry and use it for a while. Every request must be answered, and no connection may be
    # refused.
    Given an upstream for the entry of 4 shards with 2 servers each
    And each server of the upstream takes 20 ms longer
    And callers keep the entries' addresses for 1500 ms
    And 2 entries run
    And callers request the entries' addresses and send queries to them continuously
    When entry 2 makes a planned stop while at least 30 queries are sent
    Then no caller of the entries saw an error or a broken connection
    And entry 2 ran queries after its stop had started

  Scenario: A query runs longer than the time to live of the addresses
    # The stop waits for running queries, up to its limit.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 1000 ms longer
    And the entry runs
    When the entry gets a query and makes a planned stop once the query has reached the upstream
    Then the entry's answers are right and lack nothing
    And the entry had ended after its last answer

  Scenario: A query arrives after the entry has started to refuse queries
    # A caller used the address for longer than its time to live. The query is refused with not_run,
    # and the caller is told to use another entry.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 1500 ms longer
    And the entry runs
    When the entry drains with a query in flight and gets another one
    Then the later query was refused by the entry with "stopping" and "not_run" and "other_entry"
    And the entry's answers are right and lack nothing

  Scenario Outline: The program receives <signals>
    # The first signal starts the planned stop; a second one ends the program immediately.
    Given an upstream for the entry of 2 shards with 1 server each
    When the entry's program runs with a rules file and receives <signals>
    Then the entry's program ended with exit code 0 and the event "<event>"
    And the entry's program answered a query by the rule "from-file" before

    Examples:
      | signals       | event          |
      | SIGTERM       | entry_stopped  |
      | SIGINT        | entry_stopped  |
      | SIGTERM twice | entry_stopping |

  Scenario: Operators inspect an entry
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs with its operator endpoints
    And the entry was asked 3 times
    When an operator reads metrics, readiness and dump of the entry
    Then the entry's metrics count 3 answered requests
    And the entry is ready
    And the entry's dump names its upstream, snapshot and servers
    And after the stop has started the entry is not ready
