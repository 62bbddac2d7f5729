Feature: Raft consensus of the replicated log

  Scenario: Random schedules of faults violate no invariant
    # Messages are lost, duplicated, delayed and reordered. Hosts crash and lose unsynced writes,
    # networks partition, also in one direction only, disks are slow or fail, and operators replace
    # hosts meanwhile. A fault in the protocol would lose an accepted change, or let two hosts give
    # different answers.
    Then 150 random raft schedules violate no invariant
    And 60 raft schedules with partitions violate no invariant

  Scenario Outline: Seeds of random schedules that once violated an invariant
    # 10516: a restarted follower received a snapshot of entries that it already had, and dropped
    # the later entries, which it had acknowledged. A leader without them was elected, and accepted
    # changes were lost.
    Then the raft schedule with seed <seed> violates no invariant

    Examples:
      | seed  |
      | 10516 |

  Scenario: A follower receives a snapshot of entries that it already has
    # A reply was delayed or lost, so the leader sends a snapshot that the follower does not need.
    # If the follower restarted its log after the snapshot, the entries that it has acknowledged
    # would be on one disk fewer than the leader assumes.
    Given a raft follower that restarts with 10 entries on disk
    When the raft follower receives a snapshot up to entry 5
    Then the raft follower keeps its 10 entries and confirms the snapshot

  Scenario Outline: A control host is partitioned for a long time and returns
    # A switch drops the packets of one host, in one or both directions, and no host gets an error.
    # If the host raised its term meanwhile, its return would depose a healthy leader. If it kept
    # serving reads, callers would get outdated rules.
    Given a raft cluster of <size> members with 40 commands
    When the raft <role> loses <direction> traffic for 60 s under load, and reconnects
    Then the raft term has risen by at most <terms>
    And no two raft members held a lease at the same time
    And all raft members reach the same state, with every acknowledged command

    Examples:
      | size | role     | direction | terms |
      | 3    | follower | all       | 0     |
      | 5    | follower | all       | 0     |
      | 5    | follower | incoming  | 0     |
      | 5    | follower | outgoing  | 0     |
      | 3    | leader   | all       | 1     |
      | 5    | leader   | all       | 1     |
      | 5    | leader   | outgoing  | 1     |

  Scenario: A partitioned leader stops serving reads before another is elected
    # The old leader does not detect the partition for a while. If it kept serving reads from its
    # own state, an operator could see a rule that was already withdrawn.
    Given a raft cluster of 5 members with 10 commands
    When the raft leader is partitioned and receives a read every 10 ms for 3 seconds
    Then no raft read was served after the lease had expired
    And another raft member leads and acknowledges a command

  Scenario: Two members restart right after they replied to the leader
    # A reply to a heartbeat promises to elect no other leader for a while, but is kept in memory
    # only. A third member, which receives nothing from the leader, requests votes when the leader
    # is partitioned and the two have just restarted. If they voted at once, two hosts would hold a
    # lease.
    Given a raft cluster of 5 members with 5 commands
    When one raft member gets no leader messages, one is down and two restart after various delays
    Then no two raft members held a lease at the same time

  Scenario: A new leader finds an entry of an older term on a majority
    # The entry is on a majority of disks, but a member with a newer term can still be elected and
    # replace it. If the leader counted it as committed, an accepted change could later be undone.
    Given a raft leader of term 4 whose log ends with a command of term 2
    When a majority acknowledges the raft log up to that command
    Then the raft commit index does not change
    When a majority acknowledges the first raft entry of the leader's term
    Then all raft entries are committed

  Scenario Outline: A second host is lost right after a replacement
    # A host loses its disk, and another with an empty disk replaces it. As soon as the replacement
    # is a voter, a second host is lost. If the replacement had become a voter too early, or under
    # the old member ID, accepted changes would be lost or no change could be accepted any more.
    Given a raft cluster of <size> members with 120 commands
    When a raft host is permanently lost and replaced, and then the <second> is lost
    Then the raft cluster acknowledges new commands
    And all raft members reach the same state, with every acknowledged command

    Examples:
      | size | second         |
      | 3    | leader         |
      | 3    | other follower |
      | 5    | leader         |
      | 5    | other follower |

  Scenario: A learner that lacks the log is not promoted
    # A voter without the log raises the quorum but can't acknowledge entries. After one more loss
    # nothing could be accepted until it has copied the whole log.
    Given a raft cluster of 3 members with 120 commands
    When an empty, unreachable raft member is added and promoted at once
    Then the raft change is refused as "not_caught_up"

  Scenario: Two membership changes at once
    # Two operators replace two hosts at the same time. With both changes uncommitted, two
    # majorities could have no member in common and commit different entries.
    Given a raft cluster of 5 members with 5 commands
    When two raft members are removed at the same time
    Then the raft change is refused as "not_ready"
    And the raft membership has 4 voters

  Scenario: A removed member learns of its removal
    # An operator removes a running host. If the host never learned of it, it would request votes
    # for as long as it runs, and look like a host that has lost its leader.
    Given a raft cluster of 5 members with 5 commands
    When a raft follower is removed and 3 seconds pass
    Then the removed raft member is not a voter and no longer sends messages

  Scenario: A planned stop of the leader
    # An operator stops the leader's host. Without a leadership transfer, every change would wait
    # until the others detect that the leader is gone.
    Given a raft cluster of 5 members with 20 commands
    When the raft leader transfers its leadership
    Then another raft member leads within 50 ms
    And no two raft members held a lease at the same time

  Scenario: The leader's disk fails
    # A write or a sync fails, for example because the disk is full. From then on the content of the
    # disk is unknown. If the host kept acknowledging, accepted changes would be lost at its next
    # start.
    Given a raft cluster of 3 members with 20 commands
    When the disk of the raft leader fails
    Then another raft member leads within 50 ms
    And the failed raft member no longer acknowledges, votes or leads
    And all raft members reach the same state, with every acknowledged command

  Scenario: A slow disk delays acknowledgements but not heartbeats
    # A disk that takes a second for a sync is slow, but has not failed. If heartbeats waited for
    # it, the leader would be deposed repeatedly.
    Given a raft cluster of 3 members with 5 commands
    When every raft disk takes up to 2000 ms for a write under load
    Then the raft term has risen by at most 0
    And all raft members reach the same state, with every acknowledged command

  Scenario: The leader is lost while every disk is slow
    # A vote counts only once it is on disk. If that takes longer than a member waits before it
    # starts another election, every election would abort the previous one, and no leader would be
    # elected while the disks are slow.
    Given a raft cluster of 5 members with 5 commands
    When every raft disk takes up to 1500 ms for a write and the leader is lost
    Then another raft member leads within 12000 ms

  Scenario: A link breaks in the middle of a snapshot
    # A host that was down for long receives the whole state. If each broken link restarted the
    # transfer, a host on an unreliable link would never catch up.
    Given a raft cluster of 3 members with 20 commands
    When a raft follower misses 200 commands and every 2nd chunk of its snapshot is lost
    Then the raft follower received no chunk twice

  Scenario: The host whose loss caused an election
    # An operator lets another host depart right after the leader's host is lost. If the new leader
    # counted the lost host as running, the departure would be allowed and leave no spare host.
    Given a raft cluster of 5 members with 5 commands
    When the raft leader is lost and another member leads
    Then the new raft leader never counts the lost member as responsive, but soon all others

  Scenario: A peer that does not acknowledge
    # A peer stops reading. The leader must not queue the whole log for it in memory.
    Given a raft cluster of 3 members with 5 commands
    When a raft follower acknowledges no append while 100 commands are proposed
    Then the raft leader sent it at most 8 appends in each 200 ms
