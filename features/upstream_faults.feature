Feature: Upstreams that fail while queries run

  Scenario: A straggler is left behind once the rule's coverage is reached
    # One server of many is slow for a while. The straggler would set the latency of the whole
    # query; the rule is content with nearly all, and the caller sees which shard is missing.
    Given an upstream for the entry of 20 shards with 1 server each
    And the entry's rule wants a coverage of 0.95
    And the entry runs
    And the upstream's server "navigator-07-0" takes 20000 ms longer
    When the entry is asked 3 times
    Then the entry's answers are right and lack only shard "s07"
    And the upstream's server "navigator-07-0" saw its requests cancelled

  Scenario: A server crashes while queries run on it
    # A process of the upstream dies with requests under way; all its connections break at once.
    # Its shard is on another server, so callers notice nothing but some milliseconds.
    Given an upstream for the entry of 4 shards with 2 servers each
    And each server of the upstream takes 100 ms longer
    And the entry runs
    When the entry is asked 8 times at once and the upstream's server "navigator-02-1" crashes
    Then the entry's answers are right and lack nothing
    And the upstream's server "navigator-02-1" crashed 1 time

  Scenario: All servers of a shard are gone
    # Both replicas of one shard are lost at a time. The rest is answered, and the coverage is told
    # by what the lost shard weighs, not by the count of shards.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the upstream was partitioned anew into shards of unequal weight
    And the entry runs
    When all servers of shard "s01b" of the upstream are gone for good
    And the entry is asked 3 times
    Then the entry's answers are right and lack only the shards "s01a, s01b"
    And the entry's answers have a coverage of 0.75

  Scenario Outline: One server of each shard <does>
    # Overloaded or leaving servers refuse, others lose what they are sent. With a second server
    # for every shard nothing need be missing.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the first server of each shard of the upstream <does>
    When the entry is asked 10 times
    Then the entry's answers are right and lack nothing

    Examples:
      | does                          |
      | sheds                         |
      | drains                        |
      | says that it is draining      |
      | says that it is starting      |
      | says nothing of its health    |
      | reports no load               |
      | reports a huge load           |

  Scenario: One server of each shard loses its requests, and each query is new
    # A fault in front of half of the servers cuts each connection off once a request is on it. The
    # servers run on, with the same boot id, so that it is no request that crashes them; and for
    # every shard there is another server. Queries that nobody has sent before are answered too.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the first server of each shard of the upstream loses its requests
    When the entry is asked 30 different queries
    Then the entry's answers are right and lack nothing

  Scenario: One server of each shard says that it is fine and fails, and each query is new
    # The same, while the health endpoint and the reported load of the failing servers look better
    # than those of the good ones.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the first server of each shard of the upstream says that it is fine and fails
    When the entry is asked 30 different queries
    Then the entry's answers are right and lack nothing

  Scenario: Every server says that it is draining although none is
    # A fault in the deploy of a health endpoint shows all servers as leaving. Believed, it would
    # leave no server for any shard.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And each server of the upstream says that it is draining
    And the entry has heard of the health of each server
    When the entry is asked 5 times
    Then the entry's answers are right and lack nothing

  Scenario Outline: The open connections to one server of each shard go silent, <side> side
    # Something between the two ends has lost track of the connections: nothing comes any more, and
    # neither end is told, while new connections work. Kept, each would swallow one query after
    # the other.
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
    # A quiet night, and a table of connections somewhere on the way is cleared. The first query of
    # the morning would run into every silent connection at once; the probes of health go over the
    # same connections and find them before.
    Given an upstream for the entry of 3 shards with 2 servers each
    And the entry runs
    And the entry was asked 4 times
    And all open connections to the upstream go silent on the read side
    When the entry's probes have replaced the silent connections to the upstream
    And the entry is asked 3 times
    Then the entry's answers are right and lack nothing

  Scenario: The caller goes away while its query runs
    # A robot gives up or its radio link breaks. Work on a query that nobody waits for takes slots
    # from those who do.
    Given an upstream for the entry of 5 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    And the entry runs
    When a caller of the entry leaves once its query has reached each server of the upstream
    Then soon each server of the upstream saw its request cancelled
    And soon the entry runs no query

  Scenario: Servers come back cold after a restart
    # The first server of each shard was restarted; its caches are empty and each request takes
    # twenty times as long for a while. Sent its usual half of the queries, it would set the tail of
    # every one of them.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the entry was asked 20 times
    And the entry has heard of the health of each server
    When the first server of each shard of the upstream restarts and is cold for long
    And the entry is asked 80 times one after the other
    Then the entry's answers are right and lack nothing
    And the cold servers of the upstream got less than half as much work as the others
