Feature: Connections of entries to upstream servers

  Servers limit their connections, and a new one costs them milliseconds of their few slots.

  Scenario: A server's limit is kept while entries join and leave under load
    # Hosts are added and replaced in the middle of a closing. Were each entry to hold what it held
    # before, the server would close the connections that are too many, with requests on them.
    Given an upstream for the entry of 3 shards with 2 servers that take 6 connections each
    And the upstream's new connections cost 6 ms
    And 3 entries run
    And queries are sent to the entries without a pause
    When entry 2 ends and another entry takes its place 3 times
    And the queries to the entry end
    Then no answer of an entry was wrong
    And no server of the upstream had a connection too many
    And each server of the upstream had at least 3 connections at a time

  Scenario: A lease gives fewer connections than before
    # Another entry has joined, and control divides the server's connections anew. The places that
    # this entry gives up are counted on by the other one.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry holds 4 connections to each server when it needs them
    And the entry runs
    And the entry was asked 20 times
    When a lease gives the entry 1 connection to each server
    Then soon each server of the upstream has 1 connection
    And the entry is asked 5 times
    And the entry's answers are right and lack nothing

  Scenario: A lease leaves no connections
    # The entry was cut off from control, which hands its places to others once the lease and the
    # grace after it are over.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs
    And the entry was asked 4 times
    When a lease gives the entry 0 connection to each server
    Then soon each server of the upstream has 0 connections

  Scenario: A warm connection is used before a new one is opened
    # Each new connection costs a server of today 6 ms, more than most shard requests take.
    Given an upstream for the entry of 4 shards with 1 server each
    And the entry's probes of health rest
    And the entry's rule allows no hedges
    And the entry runs
    And the entry was asked 1 times
    And the entry has a spare connection to each server of the upstream
    When the entry is asked 50 times
    Then the entry opened at most 8 connections
    And the entry's answers are right and lack nothing

  Scenario: The server closes idle connections
    # Servers drop connections that were idle for long. A request sent on one is lost, although a
    # look at the socket would have shown that it is closed.
    Given an upstream for the entry of 3 shards with 1 server each
    And the entry's rule allows 0 retries
    And the entry runs
    And the entry was asked 5 times
    When each server of the upstream closes its open connections
    And the entry is asked 3 times
    Then the entry's answers are right and lack nothing

  Scenario Outline: The places of one server's connections: <case>
    # The count has to hold in every order of events, since the server refuses one too many.
    When a server of share <share> sees the connection events "<events>"
    Then the connections held at the end are <held> and never were over <share>
    And a further connection is <further>

    Examples:
      | case                                | share | events                        | held | further    |
      | one opened                          | 2     | open                          | 1    | not wanted |
      | one opened and taken                | 2     | open take                     | 1    | wanted     |
      | all taken                           | 2     | open take open take           | 2    | not wanted |
      | one broke a moment ago              | 1     | open take break               | 1    | not wanted |
      | one broke a while ago               | 1     | open take break wait          | 0    | wanted     |
      | the server closed one in use        | 1     | open take lose                | 0    | wanted     |
      | the server closed a new one at once | 1     | open take refuse              | 0    | not wanted |
      | a spare while one is taken          | 3     | open take open                | 2    | not wanted |
      | an opening under way                | 2     | start                         | 1    | not wanted |
      | no connection could be opened       | 2     | start fail                    | 0    | not wanted |
      | it could not be opened a while ago  | 2     | start fail wait               | 0    | wanted     |
      | the share shrank below what is idle | 1     | open take open back wait trim | 1    | not wanted |

  Scenario: A server closes connections that nobody has used yet
    # Before the first traffic, and where requests are rare, each connection is closed for being idle.
    # Taken for a server that is full, it got no request for a while, and most parts of a query no
    # server.
    Given a pool with a connection to a server that closes what was unused for 700 ms
    When the server has closed it
    Then the next request gets a connection without a fault
    And the pool has a live one again by itself when the server has closed that, too
