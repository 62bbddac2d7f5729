Feature: Upstreams that fail while queries run

  Scenario: A straggler is omitted once the rule's target coverage is reached
    # One server of many is slow for a while and would determine the latency of the whole query. The
    # target coverage is below 1, and the answer names the missing shard.
    Given an upstream for the entry of 20 shards with 1 server each
    And the entry's rule has a target coverage of 0.95
    And the entry runs
    And the upstream's server "navigator-07-0" takes 20000 ms longer
    When the entry is asked 3 times
    Then the entry's answers are right and lack only shard "s07"
    And the upstream's server "navigator-07-0" saw its requests cancelled

  Scenario: A server crashes while queries run on it
    # A process of the upstream crashes while it runs requests, and all its connections break at
    # once. Its shard has another server, so callers only see a few milliseconds of delay.
    Given an upstream for the entry of 4 shards with 2 servers each
    And each server of the upstream takes 100 ms longer
    And the entry runs
    When the entry is asked 8 times at once and the upstream's server "navigator-02-1" crashes
    Then the entry's answers are right and lack nothing
    And the upstream's server "navigator-02-1" crashed 1 time

  Scenario: All servers of a shard are lost
    # Both replicas of one shard are lost at once. The other shards are answered, and the coverage
    # reflects the weight of the lost shard, not the number of shards.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the upstream was repartitioned into shards of unequal weight
    And the entry runs
    When all servers of shard "s01b" of the upstream are lost for good
    And the entry is asked 3 times
    Then the entry's answers are right and lack only the shards "s01a, s01b"
    And the entry's answers have a coverage of 0.75

  Scenario Outline: One server of each shard <behaviour>
    # Overloaded or leaving servers refuse requests, others report wrong states. Every shard has a
    # second server, so no shard is missing.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the first server of each shard of the upstream <behaviour>
    When the entry is asked 10 times
    Then the entry's answers are right and lack nothing

    Examples:
      | behaviour                     |
      | sheds                         |
      | drains                        |
      | reports that it is draining   |
      | reports that it is starting   |
      | does not answer health probes |
      | reports no load               |
      | reports a huge load           |

  Scenario: One server of each shard loses its requests, and each query is new
    # A fault in front of half of the servers breaks each connection once a request is on it. The
    # servers keep running with the same boot ID, so no request has crashed them. Every shard has
    # another server, and queries that were never sent before must be answered too.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the first server of each shard of the upstream loses its requests
    When the entry is asked 30 different queries
    Then the entry's answers are right and lack nothing

  Scenario: One server of each shard reports good health and fails, and each query is new
    # As above, but the health and the load that the failing servers report look better than those
    # of the healthy ones.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the first server of each shard of the upstream reports good health and fails
    When the entry is asked 30 different queries
    Then the entry's answers are right and lack nothing

  Scenario: Every server reports that it is draining although none is
    # A faulty deployment of the health endpoint reports all servers as draining. If this were
    # believed, no shard would have a server.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And each server of the upstream reports that it is draining
    And the entry has received the health of each server
    When the entry is asked 5 times
    Then the entry's answers are right and lack nothing

  Scenario Outline: The open connections to one server of each shard go silent, <side> side
    # A device between the two ends has lost the state of the connections: no data arrives, and
    # neither end gets an error, while new connections work. If they were kept, queries would be
    # lost on them again and again.
    Given an upstream for the entry of 3 shards with 2 servers each
    And the entry runs
    And the entry was asked 10 times
    And the open connections to the first server of each shard of the upstream go silent on the <side> side
    When the entry is asked 6 times
    Then the entry's answers are right and lack nothing
    And soon none of the silent connections to the upstream is open

    Examples:
      | side  |
      | read  |
      | write |

  Scenario: Idle connections go silent and no query is sent
    # A device on the path drops its connection table while there is no traffic. The next query
    # would hit every silent connection at once; health probes use the same connections and find
    # them first.
    Given an upstream for the entry of 3 shards with 2 servers each
    And the entry runs
    And the entry was asked 4 times
    And all open connections to the upstream go silent on the read side
    When the entry's probes have replaced the silent connections to the upstream
    And the entry is asked 3 times
    Then the entry's answers are right and lack nothing

  Scenario: The caller disconnects while its query runs
    # A caller gives up or loses its connection. Work on its query would take slots from queries
    # whose callers still wait.
    Given an upstream for the entry of 5 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    And the entry runs
    When a caller of the entry disconnects once its query has reached each server of the upstream
    Then soon each server of the upstream saw its request cancelled
    And soon the entry runs no query

  Scenario: Servers come back cold after a restart
    # The first server of each shard was restarted; its caches are empty and each request takes
    # twenty times as long for a while. With its usual half of the requests, it would determine the
    # tail latency of every query.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the entry was asked 20 times
    And the entry has received the health of each server
    When the first server of each shard of the upstream restarts and stays cold
    And the entry is asked 80 times one after the other
    Then the entry's answers are right and lack nothing
    And the cold servers of the upstream received less than half as many requests as the others
