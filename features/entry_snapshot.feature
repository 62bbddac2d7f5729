Feature: Every answer of an entry reflects one snapshot

  Scenario Outline: The upstream <changes> while queries run
    # A new index version is published, or documents move to other shards, under load. An answer
    # with rows of two versions would show a state that never existed.
    Given an upstream for the entry of 5 shards with 2 servers each
    And each server of the upstream takes 5 ms longer
    And the entry runs
    And queries are sent to the entry without a pause
    When the upstream <changes> 4 times, each after 40 more right answers of the entry
    And the queries to the entry end
    Then all answers of the entry were right
    And the newest answer of the entry is of the newest snapshot of the upstream

    Examples:
      | changes                                |
      | publishes a version                    |
      | is repartitioned                       |
      | publishes a version and drops the last |

  Scenario: The upstream is repartitioned while shard requests wait for a server
    # More queries arrive than the servers can run at once, and documents move to other shards.
    # Running queries are pinned to the old map. Their waiting shard requests must still be sent;
    # otherwise the queries reach their deadline without an answer.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry may hold 1 connections to each server
    And each server of the upstream takes 50 ms longer
    And the entry runs
    And the entry was asked 1 times
    When the upstream is repartitioned while 8 queries of the entry are running
    Then the entry's answers are right and lack nothing

  Scenario: One server does not hold the new version yet
    # Versions reach the servers one after the other. A server without the new version refuses, and
    # the shard is queried at the other server instead of at the old version.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the upstream publishes a version that the first server of each shard lacks
    When the entry has adopted the newest snapshot of the upstream
    And the entry is asked 10 times
    Then the entry's answers are right and lack nothing

  Scenario: A lagging server serves an older shard map than the known one
    # The map is fetched from whichever server answers. A lagging server must not return new queries
    # to a version that the others may have dropped.
    Given an upstream for the entry of 2 shards with 2 servers each
    And the entry runs
    And the upstream publishes a version
    When the entry has adopted the newest snapshot of the upstream
    And the upstream serves its first shard map again and the entry fetches it
    Then the entry's map is of version 2
