Feature: Every answer of an entry reflects one snapshot

  Scenario Outline: The upstream <changes> while queries run
    # The nightly build publishes a new index version, or documents move to other shards, in the
    # middle of a closing. Rows of two versions in one answer would be a state that never was.
    Given an upstream for the entry of 5 shards with 2 servers each
    And each server of the upstream takes 5 ms longer
    And the entry runs
    And queries are sent to the entry without a pause
    When the upstream <changes> 4 times, each after 40 more right answers of the entry
    And the queries to the entry end
    Then all answers of the entry were right
    And the newest answer of the entry is of the newest snapshot of the upstream

    Examples:
      | changes                                  |
      | publishes a version                      |
      | is partitioned anew                      |
      | publishes a version and forgets the last |

  Scenario: The upstream is partitioned anew while shard requests wait for a server
    # At the end of the month more queries come than the servers take at a time, and in that moment
    # documents move to other shards. The queries that had begun are pinned to the old map; what of
    # them still waits must be sent all the same, or they end at their deadline with nothing.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry holds 1 connections to each server when it needs them
    And each server of the upstream takes 50 ms longer
    And the entry runs
    And the entry was asked 1 times
    When the upstream is partitioned anew while 8 queries of the entry are under way
    Then the entry's answers are right and lack nothing

  Scenario: One server does not hold the new version yet
    # Versions reach the servers one after the other. A server that is behind says so, and the
    # shard is asked of the other one instead of being read at the old version.
    Given an upstream for the entry of 4 shards with 2 servers each
    And the entry runs
    And the upstream publishes a version that the first server of each shard lacks
    When the entry has adopted the newest snapshot of the upstream
    And the entry is asked 10 times
    Then the entry's answers are right and lack nothing

  Scenario: A server that lags serves an older shard map than was seen before
    # The map is fetched from whichever server answers. One that lags must not take new queries
    # back to a version that the others may have dropped.
    Given an upstream for the entry of 2 shards with 2 servers each
    And the entry runs
    And the upstream publishes a version
    When the entry has adopted the newest snapshot of the upstream
    And the upstream shows its first shard map again and the entry fetches it
    Then the entry's map is of version 2
