Feature: Choice of replicas

  Scenario Outline: An unavailable server gets no requests
    # A host is about to leave, or its server refuses requests. A request sent there would be lost
    # when the host leaves, or would add to the load of an overloaded server.
    Given a core over 1 shard with 2 replicas
    When server ix-0-0 is marked as <how>
    Then 20 queries in the core all go to ix-0-1

    Examples:
      | how                 |
      | leaving by platform |
      | leaving by control  |
      | draining by answer  |
      | shedding            |
      | ejected             |
      | unreachable         |
      | starting            |

  Scenario: A report of one source does not override another source
    # The platform's list is stale and has a server as live that control knows to be leaving.
    Given a core over 1 shard with 2 replicas
    When server ix-0-0 is marked as leaving by control
    And the platform reports no server as leaving
    Then 20 queries in the core all go to ix-0-1

  Scenario: A draining server gets no requests although its health endpoint reports ready
    # The server refused a request because it is draining, but its health endpoint is stale.
    Given a core over 1 shard with 2 replicas
    When server ix-0-0 is marked as draining by answer
    And the health endpoint of ix-0-0 reports ready
    Then 20 queries in the core all go to ix-0-1

  Scenario Outline: Wrong health reports cannot take a shard out of service
    # A monitoring fault makes all health endpoints of a shard report the same wrong state while the
    # servers work. If the reports excluded servers, the shard would be missing from every answer.
    Given a core over 1 shard with 2 replicas
    When the health endpoint of ix-0-0 reports <state>
    And the health endpoint of ix-0-1 reports <state>
    Then a query in the core is answered in full

    Examples:
      | state       |
      | draining    |
      | starting    |
      | unreachable |

  Scenario: No more than half of an upstream's servers are ejected
    # A fault in this entry's own network makes every server look broken. If all were ejected, none
    # would be left when the network recovers.
    Given a core over 4 shards with 2 replicas
    When each server fails 4 times in a row
    Then at most 4 servers are ejected in the core
    And a query in the core is answered in full

  Scenario: Silence on one connection is attributed to the connection
    # A device on the network path drops the state of one connection. New connections to the same
    # server work. If the server were ejected, the other replica would get all of its load.
    Given a core over 1 shard with 1 replica
    When an attempt on server ix-0-0 goes silent
    Then the same query was sent to ix-0-0 again
    And no server is ejected in the core

  Scenario: Silence on several connections is attributed to the server
    # The server's host hangs: it accepts connections but never answers.
    Given a core over 1 shard with 2 replicas
    When 4 attempts on server ix-0-0 go silent
    Then 20 queries in the core all go to ix-0-1

  Scenario: A server that has just started gets fewer requests at first
    # A restarted server has cold caches and is slow. With its full share of requests at once, it
    # would delay every query that uses it.
    Given a core over 1 shard with 2 replicas
    And both replicas have answered in 5 ms
    When server ix-0-0 has restarted
    Then of 40 queries in the core at most 4 go to ix-0-0
    When 6000 ms pass in the core
    Then of 40 queries in the core at least 10 go to ix-0-0

  Scenario: A load report that contradicts the latency is ignored
    # A server keeps reporting no load while its answers take 60 ms.
    Given a core over 1 shard with 2 replicas
    When ix-0-0 reports no load but answers in 60 ms while ix-0-1 takes 5 ms
    Then server ix-0-0 is shown as "load report distrusted" in the core's dump
    And of 40 queries in the core at most 4 go to ix-0-0

  Scenario: An entry keeps to its share of connections
    # A server allows thirty connections from all entries together. An entry that opens more than
    # its share locks another entry out.
    Given a core over 1 shard with 2 replicas
    When the lease gives 2 connections to ix-0-0 and 1 to ix-0-1
    Then 6 queries in the core lead to 3 attempts at the same time and all are answered

  Scenario: A server without a connection share gets no requests
    # A server is new and control has not assigned shares for it. Without this rule each entry might
    # open as many connections as the server allows for all entries.
    Given a core over 1 shard with 2 replicas
    When the lease gives 2 connections to ix-0-0 and 0 to ix-0-1
    Then 2 queries in the core all go to ix-0-0

  Scenario: The choice of replicas matches a naive implementation
    Then the chosen replica is also the best of a naive implementation, for any servers

  Scenario: A failed shard request is retried on another server
    # A replica is lost during a query. The caller must still get a complete answer.
    Given a core over 4 shards with 2 replicas
    When a query's attempt is lost
    Then the core sends it to the other replica
    And the query in the core is answered in full

  Scenario: Retries stop when the budget is used up
    # The upstream fails every request. If each failure led to a retry, the load would double while
    # the servers are overloaded.
    Given a core over 1 shard with 2 replicas
    When 1000 queries in the core fail on every attempt
    Then the core has sent at most 1170 shard requests

  Scenario: Requests that wait for shedding servers share one timer
    # All replicas of a shard shed repeatedly while sixty queries wait for them. If each waiting
    # request set a timer and each timer checked all of them, the timers would multiply with every
    # round until the entry did nothing else.
    Given a core over 1 shard with 2 replicas
    When 60 queries in the core wait while both replicas shed for 20 rounds
    Then the core never held more than 200 timers

  Scenario: The owners of a server are in its zone and stable
    Then owners of a server come from its own zone first and are kept when another entry leaves

  Scenario Outline: A fast enough replica in the own zone is preferred
    # A replica in another availability zone is a few milliseconds faster. The operator pays for
    # traffic between zones, and the caller does not notice the difference. A replica in the own
    # zone that is much slower is not preferred.
    Given a replica in the own zone that takes <near> ms and one in another zone that takes <far> ms
    When a replica in the own zone is preferred up to <limit> ms
    Then the <chosen> replica is chosen

    Examples:
      | near | far | limit | chosen |
      | 40   | 10  | 60    | near   |
      | 70   | 10  | 60    | far    |
      | 70   | 90  | 60    | near   |
      | 40   | 10  | 0     | far    |
