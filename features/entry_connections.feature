Feature: Connections of entries to upstream servers

  Servers limit the number of connections, and a new one costs milliseconds of their few slots.

  Scenario: A server's limit is kept while entries join and leave under load
    # Hosts are added and replaced under load. If each entry kept its connections, the server would
    # exceed its limit and close connections with requests on them.
    Given an upstream for the entry of 3 shards with 2 servers that take 6 connections each
    And the upstream's new connections cost 6 ms
    And 3 entries run
    And queries are sent to the entries without a pause
    When entry 2 is replaced by another entry 3 times
    And the queries to the entry end
    Then no answer of an entry was wrong
    And no server of the upstream had a connection too many
    And each server of the upstream had at least 3 connections at a time

  Scenario: A lease allows fewer connections than before
    # Another entry joins, and control divides the server's connections again. The other entry
    # relies on the connections that this one has to close.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry may hold 4 connections to each server
    And the entry runs
    And the entry was asked 20 times
    When a lease gives the entry 1 connection to each server
    Then soon each server of the upstream has 1 connection
    And the entry is asked 5 times
    And the entry's answers are right and lack nothing

  Scenario: A lease allows no connections
    # The entry was isolated from control, which gives its connections to others once the lease and
    # the grace period are over.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs
    And the entry was asked 4 times
    When a lease gives the entry 0 connection to each server
    Then soon each server of the upstream has 0 connections

  Scenario: An idle connection is used before a new one is opened
    # Each new connection costs a server 6 ms, more than most shard requests take.
    Given an upstream for the entry of 4 shards with 1 server each
    And the entry sends no health probes
    And the entry's rule allows no hedges
    And the entry runs
    And the entry was asked 1 times
    And the entry has a spare connection to each server of the upstream
    When the entry is asked 50 times
    Then the entry opened at most 8 connections
    And the entry's answers are right and lack nothing

  Scenario: The server closes idle connections
    # Servers close connections that are idle for long. A request sent on a closed connection is
    # lost, although a check of the socket would have shown that it is closed.
    Given an upstream for the entry of 3 shards with 1 server each
    And the entry's rule allows 0 retries
    And the entry runs
    And the entry was asked 5 times
    When each server of the upstream closes its open connections
    And the entry is asked 3 times
    Then the entry's answers are right and lack nothing

  Scenario Outline: The connections counted for one server: <case>
    # The count must never exceed the share in any order of events, since the server rejects
    # connections beyond its limit.
    When the connection events "<events>" occur for a server with a share of <share>
    Then <held> connections are counted at the end and never more than <share>
    And a further connection is <further>

    Examples:
      | case                                | share | events                        | held | further    |
      | one opened                          | 2     | open                          | 1    | not wanted |
      | one opened and taken                | 2     | open take                     | 1    | wanted     |
      | all taken                           | 2     | open take open take           | 2    | not wanted |
      | one closed a moment ago             | 1     | open take break               | 1    | not wanted |
      | one closed a while ago              | 1     | open take break wait          | 0    | wanted     |
      | the server closed one in use        | 1     | open take lose                | 0    | wanted     |
      | the server closed a new one at once | 1     | open take refuse              | 0    | not wanted |
      | a spare while one is taken          | 3     | open take open                | 2    | not wanted |
      | a connection attempt is running     | 2     | start                         | 1    | not wanted |
      | an attempt failed a moment ago      | 2     | start fail                    | 0    | not wanted |
      | an attempt failed a while ago       | 2     | start fail wait               | 0    | wanted     |
      | the share fell below the idle count | 1     | open take open back wait trim | 1    | not wanted |

  Scenario: Health probes use the connections in turn
    # A probe on the connection that was idle for longest shows that it still works. If one
    # connection were probed again and again, another one could be silent without anybody noticing.
    Given 3 idle connections to a server
    When each probe takes the connection that was idle for longest
    Then the connections were probed in the order in which they became idle

  Scenario: A server closes connections that were never used
    # Before the first request, and where requests are rare, the server closes connections as idle.
    # If the server were considered to be at its connection limit, it would get no requests for a
    # while, and most shards of a query would have no server.
    Given a pool with a connection to a server that closes connections unused for 700 ms
    When the server has closed it
    Then the next request gets a connection without an error
    And the pool opens another one by itself after the server has closed that one too
