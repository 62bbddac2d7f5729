Feature: An answer has one snapshot, correct coverage and only rows of its own query

  Scenario: An answer of another snapshot is never merged
    # The index changes from version 1 to version 2 while a query runs. A server answers from
    # version 2 to a request that named version 1. If it were merged, the caller would get rows of
    # both versions in one answer.
    Given a core query over 4 shards with no retries
    When the core query's shard s2 answers from version 2
    And all other shards of the core query answer
    Then the core query covers 0.75 of version 1 without s2 because of "wrong_answer"

  Scenario Outline: An answer to another request is never merged
    # Two exchanges on one connection get out of step, and the answer to one request arrives for
    # another. The caller would get rows of another caller's query.
    Given a core query over 4 shards with no retries
    When the core query's shard s2 answers with the <part> of another request
    And all other shards of the core query answer
    Then the core query covers 0.75 of version 1 without s2 because of "wrong_answer"

    Examples:
      | part       |
      | request id |
      | shard      |

  Scenario: Coverage is weighted by the documents of each shard
    # The largest shard is missing. A coverage that counts shards would be 75 %, although only a
    # tenth of the documents was searched.
    Given a core query over shards of 10, 10, 10 and 270 documents with no retries
    When all replicas of the core query's shard s3 fail
    And all other shards of the core query answer
    Then the core query covers 0.1 of version 1 without s3 because of "failed"

  Scenario: A query whose snapshot is gone runs again as a whole on the newer one
    # A repartition finishes while a query runs: two shards have answered from the old version, and
    # the third no longer has it. As an answer is of one version, all shards are queried again.
    Given a core query over 4 shards with no retries
    When 2 shards of the core query answer
    And the core receives the map of version 2
    And a shard of the core query says that its version is gone
    Then the core query has 4 attempts in flight and all name version 2
    When all other shards of the core query answer
    Then the core query covers 1.0 of version 2 with rows of version 2 only

  Scenario: A query waits for the newer map when all replicas dropped its snapshot
    # The servers switch versions a moment before this entry has fetched the new map. If queries
    # did not wait, all answers of that moment would lack shards.
    Given a core query over 4 shards with no retries
    When all replicas of the core query's shard s1 say that the version is gone
    Then the core requests a new shard map
    When the core receives the map of version 2
    Then the core query has 4 attempts in flight and all name version 2

  Scenario: A shard counts as missing when the newer map does not come
    # The newer map can't be fetched. The query must not wait until its deadline, and the missing
    # shard must not count as covered.
    Given a core query over 4 shards with no retries
    When all replicas of the core query's shard s1 say that the version is gone
    And all other shards of the core query answer
    And 260 ms pass in the core
    Then the core query covers 0.75 of version 1 without s1 because of "version_gone"

  Scenario: A query is not planned a third time
    # The index version changes twice during one query. Planning again each time could go on forever
    # while the caller waits, so the second time the shard counts as missing.
    Given a core query over 4 shards with no retries
    When the core receives the map of version 2
    And a shard of the core query says that its version is gone
    And the core receives the map of version 3
    And all replicas of the core query's shard s1 say that the version is gone
    And all other shards of the core query answer
    Then the core query covers 0.75 of version 2 without s1 because of "version_gone"

  Scenario: An older map that arrives late is ignored
    # Two fetches of the shard map end in reverse order. With the older map, new queries would name
    # index versions that are gone.
    Given a core with the map of version 2
    When the core receives the map of version 1
    And a query arrives at the core
    Then the core query has 4 attempts in flight and all name version 2

  Scenario: Once the target coverage is reached, stragglers get only the time that the rule allows
    Given a core query over 4 shards with a target coverage of 0.75 and 20 ms for stragglers
    When 3 shards of the core query answer
    Then the core query is not yet answered
    When 20 ms pass in the core
    Then the core query covers 0.75 of version 1
    And the core has no attempts in flight

  Scenario Outline: A query without any answer reports correctly whether it ran
    # No shard was answered. After "not run" a caller sends the query again without any check, so
    # this must never be reported for a request that a server may have started. A request that was
    # lost on two servers may have crashed them, and its caller is told not to resend it.
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

  Scenario: A query that is still running at its deadline is not reported as "not run"
    # All servers are slow and the deadline passes. The requests are cancelled, but servers may have
    # run them.
    Given a core query over 2 shards with no retries
    When 1001 ms pass in the core
    Then the core query is refused as coverage_too_low, which says ran
    And the core has no attempts in flight

  Scenario: An answer below the minimum coverage is an error
    Given a core query over 4 shards with a target coverage of 1.0 and a minimum of 0.9
    When 3 shards of the core query answer
    And 1001 ms pass in the core
    Then the core query is refused as coverage_too_low, which says ran

  Scenario: A query is cancelled when its caller disconnects
    # Without the cancellation, the servers would keep working on a query nobody waits for.
    Given a core query over 4 shards with no retries
    When the caller of the core query disconnects
    Then the core has no attempts in flight
    And the core query is not yet answered

  Scenario: Merge and coverage equal those of a naive implementation in any order of events
    # Answers arrive in any order, twice, not at all or from other versions, and cancelled attempts
    # may still be answered.
    Then merge and coverage agree with a naive implementation for any order, duplication and loss of events

  Scenario: A replica moves to another server without a new snapshot
    # A host is drained: its server's shard is copied to another server, which the map lists instead
    # at the same version and epoch. An entry that ignores the map would keep querying a leaving
    # server and never query the new one.
    Given a core query over 4 shards with no retries
    When the core is given a map of the same snapshot with shard "s1" on server "ix-new" alone
    And another query arrives at the core after that
    Then that query is sent to server "ix-new" for shard "s1"

  Scenario: A map of the same snapshot with other weights is ignored
    # Two seeds of an upstream disagree about the number of documents of a shard. If the map were
    # adopted, the coverage of running queries would mix two sets of weights.
    Given a core query over 4 shards with no retries
    When the core is given a map of the same snapshot with other weights
    And another query arrives at the core after that
    Then that query uses the weights of the known map
