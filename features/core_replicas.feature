Feature: Which replica is asked

  Scenario Outline: A server that must get nothing gets nothing
    # A host is planned to leave, or its server refuses. Whatever is sent there after that is lost
    # when it goes, or makes an overloaded server worse.
    Given a core over 1 shard with 2 replicas
    When server ix-0-0 is known as <how>
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

  Scenario: A source that says live does not take back what another one said
    # The platform's list lags: it calls a server live that control knows to be leaving.
    Given a core over 1 shard with 2 replicas
    When server ix-0-0 is known as leaving by control
    And the platform says that no server is leaving
    Then 20 queries in the core all go to ix-0-1

  Scenario: A health endpoint that calls a draining server ready is not believed
    # The server itself refused work because it drains; its health endpoint lags behind.
    Given a core over 1 shard with 2 replicas
    When server ix-0-0 is known as draining by answer
    And the health endpoint of ix-0-0 says ready
    Then 20 queries in the core all go to ix-0-1

  Scenario Outline: Health endpoints that lie can't empty a shard
    # A monitoring fault makes all endpoints of a shard report the same wrong state while the servers
    # are well. Taken at its word the shard would be missing from every answer.
    Given a core over 1 shard with 2 replicas
    When the health endpoint of ix-0-0 says <state>
    And the health endpoint of ix-0-1 says <state>
    Then a query in the core is answered in full

    Examples:
      | state       |
      | draining    |
      | starting    |
      | unreachable |

  Scenario: No more than half of an upstream's servers are ejected
    # A fault in this entry's own network makes every server look broken. With all of them out there
    # would be nobody left to ask when the network is back.
    Given a core over 4 shards with 2 replicas
    When each server fails 4 times in a row
    Then at most 4 servers are ejected in the core
    And a query in the core is answered in full

  Scenario: Silence on one connection is held against the connection
    # Something between the two ends forgets one connection. New ones to the same server work. Taken
    # out for it, a good server would leave its load to the other one.
    Given a core over 1 shard with 1 replica
    When an attempt on server ix-0-0 goes silent
    Then the same query has asked ix-0-0 again
    And no server is ejected in the core

  Scenario: Silence on connection after connection is held against the server
    # The server's host hangs: it accepts connections and never answers.
    Given a core over 1 shard with 2 replicas
    When 4 attempts on server ix-0-0 go silent
    Then 20 queries in the core all go to ix-0-1

  Scenario: A server that has just started gets less at first
    # A restarted server has cold caches and is slow. Given its full share at once, it holds up every
    # query that touches it.
    Given a core over 1 shard with 2 replicas
    And both replicas have answered in 5 ms
    When server ix-0-0 has restarted
    Then of 40 queries in the core at most 4 go to ix-0-0
    When 6000 ms pass in the core
    Then of 40 queries in the core at least 10 go to ix-0-0

  Scenario: A load report that is not borne out is left out of account
    # A server's load endpoint says idle for ever while its answers take 60 ms.
    Given a core over 1 shard with 2 replicas
    When ix-0-0 reports no load but answers in 60 ms while ix-0-1 takes 5 ms
    Then server ix-0-0 is shown as "load report distrusted" in the core's dump
    And of 40 queries in the core at most 4 go to ix-0-0

  Scenario: An entry keeps to its share of connections
    # Thirty connections are all that a server allows from all entries together. One entry that takes
    # more locks another one out.
    Given a core over 1 shard with 2 replicas
    When the lease gives 2 connections to ix-0-0 and 1 to ix-0-1
    Then 6 queries in the core lead to 3 attempts at the same time and all are answered

  Scenario: A server that control has not divided up yet gets nothing
    # A server is new and control has not given out shares for it. Without a share each entry might
    # open as many connections as the server allows to all.
    Given a core over 1 shard with 2 replicas
    When the lease gives 2 connections to ix-0-0 and 0 to ix-0-1
    Then 2 queries in the core all go to ix-0-0

  Scenario: The choice of replicas is that of a naive version
    Then the chosen replica is one that a naive version finds best, for any servers

  Scenario: A failed shard request is tried on another server
    # A replica is lost in the middle of a query. The caller should not notice.
    Given a core over 4 shards with 2 replicas
    When a query's attempt is lost
    Then the core sends it to the other replica
    And the query in the core is answered in full

  Scenario: Retries stop when the budget is used up
    # The upstream fails every request. If each failure led to another request, the load would double
    # just when the servers can bear it least.
    Given a core over 1 shard with 2 replicas
    When 1000 queries in the core fail on every attempt
    Then the core has sent at most 1170 shard requests

  Scenario: Many requests that wait for servers which shed are looked at once, not once each
    # All replicas of a shard shed again and again while sixty queries wait for them. If each waiting
    # request set a timer and each timer looked at all of them, the timers would multiply with every
    # round until the entry does nothing else.
    Given a core over 1 shard with 2 replicas
    When 60 queries in the core wait while both replicas shed for 20 rounds
    Then the core never held more than 200 timers

  Scenario: Owners of a server are few, near and stable
    Then owners of a server come from its zone first and move little when an entry goes

  Scenario Outline: A near replica that is quick enough is asked
    # Another replica would be a few milliseconds quicker at the moment, but is in another availability
    # zone. The operator pays for what crosses, and the caller notices nothing. A near one that is far
    # behind is no use to anybody.
    Given a near replica that takes <near> ms and a far one that takes <far> ms
    When a near one is quick enough within <enough> ms
    Then the <asked> one is asked

    Examples:
      | near | far | enough | asked |
      | 40   | 10  | 60     | near  |
      | 70   | 10  | 60     | far   |
      | 70   | 90  | 60     | near  |
      | 40   | 10  | 0      | far   |
