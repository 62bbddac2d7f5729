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

  Scenario Outline: A <request> runs longer than the stop of its entry
    # Guards against connections that are closed without an answer when the time for completing
    # requests is over: the caller couldn't know whether its request ran.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    And a stop of an entry waits for requests up to 900 ms
    And 3 control hosts and 1 entries that hold a lease
    When the entry runs a <request> and ends by a planned stop
    Then the <request> got an answer with "<error>" and "<ran>" before the entry ended

    Examples:
      | request | error            | ran     |
      | query   | coverage_too_low | ran     |
      | booking | outcome_unknown  | unknown |

  Scenario: A query waits for admission when its entry ends
    # Guards against connections that are closed without an answer although the query never ran and
    # could be sent to another entry.
    Given an upstream for the entry of 1 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    And a stop of an entry waits for requests up to 900 ms
    And the entry runs
    When the entry runs as many queries as it admits and one more, and ends by a planned stop
    Then each query got an answer, and the one that waited was refused with "stopping" and "not_run"

  Scenario: An entry ends while it runs requests for another entry
    # Guards against an owner that ends without an answer to the entry which asked: that one would
    # take a booking for one that may have run, or would have to notice the end of the link.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    And a stop of an entry waits for requests up to 900 ms
    And 3 control hosts and 4 entries with links and 1 owners for each server
    When the booking "amb-7" has reached the upstream through an owner that then ends by a planned stop
    Then the entry answered the booking with "outcome_unknown" and "unknown" before its owner ended
    And the booking "amb-7" ran once at the upstream

  Scenario: A second signal ends an entry that runs a query
    # Guards against connections that are closed without an answer when an operator is in a hurry.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    When the entry's program gets a second SIGTERM while it runs a query
    Then the query got an answer with "coverage_too_low" and the program ended with exit code 0

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
