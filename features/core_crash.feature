Feature: Requests that crash the servers that run them

  Scenario: A body that crashes every server crashes at most two at one entry
    # A request makes each server that runs it exit. A query is sent to every shard at once, so it
    # would crash a replica of each shard, and its retries would crash the other replicas.
    Given a tier of 1 entry over 20 shards whose servers can crash
    When a crashing query arrives at tier entry 1
    Then 2 servers have crashed
    And its caller gets upstream_failed and must not resend it

  Scenario: A body that was quarantined at one entry is refused at the others
    # The caller resends the crashing request to one entry after another.
    Given a tier of 3 entries over 20 shards whose servers can crash
    When a crashing query arrives at tier entry 1
    And it is resent to tier entries 2, 3 and 1
    Then 2 servers have crashed
    And its resends are refused as quarantined

  Scenario: A crashing body at an upstream with a single shard crashes at most two servers
    Given a tier of 1 entry over 1 shard whose servers can crash
    When a crashing query arrives at tier entry 1
    Then 2 servers have crashed
    And its caller gets upstream_failed and must not resend it

  Scenario Outline: Other requests on a crashed server are answered and not blamed
    # Twenty ordinary queries run on a server that is crashed by another query. They lose their
    # connections as well.
    Given a tier of 1 entry over <shards> shards whose servers can crash
    When 20 harmless queries and a crashing one run at the same time
    Then all harmless queries are answered in full
    And no harmless body is refused when it is resent
    And 2 servers have crashed

    Examples:
      | shards |
      | 20     |
      | 4      |

  Scenario: The loss of many servers at once is not blamed on the bodies that ran there
    # An availability zone fails. Every query in flight loses connections, and none caused it.
    Given a tier of 1 entry over 20 shards whose servers can crash
    When a zone is lost while 20 harmless queries run
    Then all harmless queries are answered in full
    And no harmless body is refused when it is resent

  Scenario: A lost connection to a server that did not restart is no crash
    # The network drops connections. The server's boot id stays the same.
    Given a tier of 1 entry over 1 shard whose servers can crash
    When a harmless query's connection is lost and the server is still the same process
    Then no crash was reported

  Scenario: Canaries go to shards whose servers have free capacity
    # The other shards of a query wait for its first canary. If both canaries queue at busy servers,
    # the caller waits for those queues before most shards have even been queried.
    Given a core with canaries over 8 shards
    When the servers of all shards but s2 and s5 report queues at the core
    And a new body arrives at the core
    Then only its shards s2 and s5 are in flight

  Scenario: The first answer of a canary releases the other shards
    Given a core with canaries over 16 shards
    When a new body arrives at the core
    Then 2 of its shards are in flight
    When one of them answers
    Then all 16 of its shards are in flight or answered
    When the same body arrives at the core again
    Then 16 further shards are in flight

  Scenario: Slow canaries do not delay the query indefinitely
    # Both servers that run a canary stall. The other shards are sent after a timeout.
    Given a core with canaries over 6 shards
    When a new body arrives at the core
    And 100 ms pass in the core
    Then all 6 of its shards are in flight or answered

  Scenario: Servers that close their connections but keep running have not crashed
    # The first two servers that run a new query close its connections, as can happen behind a faulty
    # intermediary. Health probes show that they are the same processes as before. The query must
    # continue at the other replicas; if it were blamed, it would be refused although every shard is
    # available.
    Given a tier of 1 entry over 4 shards whose servers can crash
    When a harmless query loses its first two connections to servers that keep running
    Then that query is answered in full
    And no harmless body is refused when it is resent

  Scenario: A health report from before the crash does not clear a crashing body
    # A server answers a routine probe and is then crashed by a query. The probe's answer is read
    # after the connection is lost. If it counted as proof that the server is alive, the query would
    # be sent to one server after another.
    Given a tier of 1 entry over 4 shards whose servers can crash
    When a query loses its connections and then answers to earlier probes arrive
    Then that query has lost at most 2 connections

  Scenario Outline: A restart that is noticed late is still a crash
    # Guards against a crashing body that is sent to further servers because its entry was busy.
    Given a body that was lost on two servers, <between>
    When each of them is seen <after> s later to be <seen>
    Then the body <verdict>

    Examples:
      | between                         | after | seen                 | verdict                  |
      | not asked since                 | 3     | another process      | is held to crash servers |
      | not asked since                 | 9     | another process      | is held to crash servers |
      | not asked since                 | 50    | another process      | is held to crash servers |
      | not asked since                 | 70    | another process      | is not blamed            |
      | not asked since                 | 3     | taking no connection | is held to crash servers |
      | not asked since                 | 9     | taking no connection | is not blamed            |
      | and which ran on a moment later | 9     | another process      | is not blamed            |
      | and which ran on a moment later | 3     | another process      | is held to crash servers |

  Scenario: A new leader learns of crashes that were reported to the last one
    # Guards against a crashing body that crashes two more servers with each change of the leader.
    Given a host that has told its leader of a crash, and a leader that never heard of it
    When the host follows the new leader, and another host reports the body's second crash
    Then the new leader has the body refused everywhere
    And a host that follows a leader 61 s after a crash reports it no more
