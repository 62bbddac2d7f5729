Feature: One snapshot, true coverage, the caller's own answer

  Scenario: A late answer of another snapshot never enters the merge
    # The indexes change from version 1 to version 2 while a query runs. A server answers from
    # version 2 to a request that named version 1. Merged in, the caller would read a route of today
    # beside a floor plan of yesterday.
    Given a core query over 4 shards with no retries
    When the core query's shard s2 answers from version 2
    And all other shards of the core query answer
    Then the core query covers 0.75 of version 1 without s2 because of "wrong_answer"

  Scenario Outline: A crossed answer never enters the merge
    # Two exchanges on one connection get out of step, and a server's answer to one request arrives
    # for another. The caller would be shown rows that belong to somebody else.
    Given a core query over 4 shards with no retries
    When the core query's shard s2 answers with the <part> of another request
    And all other shards of the core query answer
    Then the core query covers 0.75 of version 1 without s2 because of "wrong_answer"

    Examples:
      | part       |
      | request id |
      | shard      |

  Scenario: Coverage is true to the documents of each shard
    # One of the shards is gone and it is the largest. A coverage that counted shards would say 75 %
    # where only a tenth of the documents was looked at.
    Given a core query over shards of 10, 10, 10 and 270 documents with no retries
    When all replicas of the core query's shard s3 fail
    And all other shards of the core query answer
    Then the core query covers 0.1 of version 1 without s3 because of "failed"

  Scenario: A query whose snapshot is gone runs once more as a whole on the newer one
    # A repartition finishes under a running query: two shards have answered from the old version,
    # the third no longer has it. The answer has to be of one version, so all are asked again.
    Given a core query over 4 shards with no retries
    When 2 shards of the core query answer
    And the core learns of the map of version 2
    And a shard of the core query says that its version is gone
    Then the core query has 4 attempts out and all name version 2
    When all other shards of the core query answer
    Then the core query covers 1.0 of version 2 with rows of version 2 only

  Scenario: A query waits for the newer map when all replicas dropped its snapshot
    # The servers change over a moment before this entry has fetched the new map. Giving up at once
    # would leave holes in the answers of all queries of that moment.
    Given a core query over 4 shards with no retries
    When all replicas of the core query's shard s1 say that the version is gone
    Then the core asks for a fresh shard map
    When the core learns of the map of version 2
    Then the core query has 4 attempts out and all name version 2

  Scenario: A shard counts as missing when the newer map does not come
    # The newer map can't be fetched. The query must not hang until its deadline, and the shard it
    # could not read must not be counted as read.
    Given a core query over 4 shards with no retries
    When all replicas of the core query's shard s1 say that the version is gone
    And all other shards of the core query answer
    And 260 ms pass in the core
    Then the core query covers 0.75 of version 1 without s1 because of "version_gone"

  Scenario: A query is not planned a third time
    # The indexes change twice within one query. Planning again and again could go on for ever while
    # the caller waits; the second time the shard counts as missing.
    Given a core query over 4 shards with no retries
    When the core learns of the map of version 2
    And a shard of the core query says that its version is gone
    And the core learns of the map of version 3
    And all replicas of the core query's shard s1 say that the version is gone
    And all other shards of the core query answer
    Then the core query covers 0.75 of version 2 without s1 because of "version_gone"

  Scenario: An older map that arrives late is not taken back
    # Two fetches of the shard map overtake each other. The older one would send new queries to index
    # versions that are gone.
    Given a core with the map of version 2
    When the core learns of the map of version 1
    And a query arrives at the core
    Then the core query has 4 attempts out and all name version 2

  Scenario: Once the wanted coverage is reached, stragglers get only the time that the rule allows
    Given a core query over 4 shards that wants 0.75 and gives stragglers 20 ms
    When 3 shards of the core query answer
    Then the core query is not yet answered
    When 20 ms pass in the core
    Then the core query covers 0.75 of version 1
    And the core has no attempts out

  Scenario Outline: A query without any answer says truly whether it ran
    # No shard could be read. A caller that is told "not run" sends again without a second thought,
    # so this must never be said of a request that a server may have begun. One that was lost on two
    # servers seems to crash them, and its caller is told not to send it again.
    Given a core query over 2 shards with no retries
    When all attempts of the core query end as <fault>
    Then the core query is refused as <kind>, which says <ran>

    Examples:
      | fault    | kind             | ran     |
      | shed     | upstream_refused | not_run |
      | draining | upstream_refused | not_run |
      | not_sent | upstream_refused | not_run |
      | failed   | upstream_failed  | ran     |
      | garbage  | upstream_failed  | ran     |
      | lost     | upstream_failed  | ran     |
      | silent   | coverage_too_low | ran     |

  Scenario: A query that is still running at its deadline is not called "not run"
    # All servers are slow and the deadline comes. The requests are cancelled, but servers may have
    # run them.
    Given a core query over 2 shards with no retries
    When 1001 ms pass in the core
    Then the core query is refused as coverage_too_low, which says ran
    And the core has no attempts out

  Scenario: An answer below the least coverage is an error
    Given a core query over 4 shards that wants 1.0 and at least 0.9
    When 3 shards of the core query answer
    And 1001 ms pass in the core
    Then the core query is refused as coverage_too_low, which says ran

  Scenario: A caller that leaves cancels the work for it
    # The guest closes the app. Without the cancellation the servers go on working for nobody.
    Given a core query over 4 shards with no retries
    When the caller of the core query leaves
    Then the core has no attempts out
    And the core query is not yet answered

  Scenario: Merge and coverage are those of a naive version in any order of events
    # Answers come in any order, twice, not at all, from other versions, and cancelled attempts
    # answer after all.
    Then merge and coverage agree with a naive version for any order, doubling and loss of events

  Scenario: A replica moves to another server without a new snapshot
    # A host is emptied: its server's shard is copied to another one and the map names that one
    # instead, at the same version and epoch. An entry that passes over the map goes on asking a
    # server that is about to leave, and never asks the new one.
    Given a core query over 4 shards with no retries
    When the core is given a map of the same snapshot with shard "s1" on server "ix-new" alone
    And another query arrives at the core after that
    Then that query asks server "ix-new" for shard "s1"

  Scenario: A map of the same snapshot with other weights is not believed
    # Two seeds of an upstream disagree about how many documents a shard has. Taken over, the
    # coverage of answers under way would be counted by two different measures.
    Given a core query over 4 shards with no retries
    When the core is given a map of the same snapshot with other weights
    And another query arrives at the core after that
    Then that query is planned over the weights that were known
