Feature: The replicated log as a state machine

  Scenario: Members of the replicated log keep their promises under random schedules of faults
    # Messages are lost, doubled, late and out of order, hosts crash and lose what they had not
    # synced, networks split, also one way only, disks are slow or fail, and meanwhile operators
    # replace hosts. Without care a change that was answered as accepted disappears, or two hosts
    # answer differently.
    Then 150 random raft schedules break no promise
    And 60 harsh raft schedules break no promise

  Scenario Outline: A random schedule that once broke a promise of the replicated log
    # Found by a long sweep and kept. 10516: a follower that had just restarted was sent a snapshot
    # of what it had, and dropped the entries behind it that it had acknowledged; a leader without
    # them was elected and accepted changes were gone.
    Then the raft schedule of seed <seed> breaks no promise

    Examples:
      | seed  |
      | 10516 |

  Scenario: A follower gets a snapshot of entries that it has
    # The leader takes a snapshot for what a follower needs, because an answer was late or lost. The
    # follower has more than that on disk and has acknowledged it. If it began anew behind the
    # snapshot, what it acknowledged would be on one disk less than the leader counts on.
    Given a raft follower that restarts with 10 entries on disk
    When the raft follower is sent a snapshot up to entry 5
    Then the raft follower keeps its 10 entries and says that it has the snapshot

  Scenario Outline: A control host is cut off silently for a long time and comes back
    # A switch drops the packets of one host, or of one direction, and nobody gets an error. If the
    # host raised its term all the while, its return would depose a leader that is well; if it went
    # on answering, callers would be told old rules.
    Given a raft cluster of <size> members with 40 commands
    When the raft <who> is cut off <way> for 60 seconds while commands go on, and comes back
    Then the raft term rose by at most <terms>
    And at no time two raft members held a lease
    And all raft members have the same state, with every acknowledged command

    Examples:
      | size | who      | way       | terms |
      | 3    | follower | both ways | 0     |
      | 5    | follower | both ways | 0     |
      | 5    | follower | inwards   | 0     |
      | 5    | follower | outwards  | 0     |
      | 3    | leader   | both ways | 1     |
      | 5    | leader   | both ways | 1     |
      | 5    | leader   | outwards  | 1     |

  Scenario: A leader that is cut off stops answering reads before another is elected
    # The old leader notices nothing of the partition for a while. If it answered reads in that
    # time from what it has, an operator would see a rule that was already withdrawn.
    Given a raft cluster of 5 members with 10 commands
    When the raft leader is cut off and asked to read every 10 ms for 3 seconds
    Then no raft read was answered after the lease had run out
    And another raft member leads and acknowledges a command

  Scenario: Two members restart right after they promised the leader not to elect another
    # The promise is kept in memory only. A third member has heard nothing from the leader because
    # of a fault in one direction, and asks the two just when they are back and the leader is cut
    # off. Were they to vote at once, two hosts would hold a lease.
    Given a raft cluster of 5 members with 5 commands
    When one raft member hears nothing from the leader, one is down and two restart at each moment
    Then at no time two raft members held a lease

  Scenario: A new leader finds an entry of an older term on a majority
    # The entry is on most disks, but a member with a newer term could still be elected and replace
    # it. If the leader took it for committed, an accepted change would be taken back later.
    Given a raft leader of term 4 whose log ends with a command of term 2
    When a majority acknowledges the raft log up to that command
    Then the raft commit index stays where it was
    When a majority acknowledges the raft leader's own first entry
    Then both raft entries are committed

  Scenario Outline: A second host is lost right after a repair
    # A host's disk is gone, and a new one comes in its place with an empty disk. Just when it has
    # its vote, another host is lost for good. Had it got the vote too early, or under its old
    # identity, accepted changes would be gone or nothing could be accepted any more.
    Given a raft cluster of <size> members with 120 commands
    When a raft host is lost for good and replaced, and then the <second> is lost for good
    Then the raft cluster acknowledges new commands
    And all raft members have the same state, with every acknowledged command

    Examples:
      | size | second         |
      | 3    | leader         |
      | 3    | other follower |
      | 5    | leader         |
      | 5    | other follower |

  Scenario: A learner that lacks the log is not promoted
    # With an empty voter the majority is larger but no stronger: one more loss, and nothing can be
    # accepted until the whole log is copied.
    Given a raft cluster of 3 members with 120 commands
    When an empty raft member that can't be reached is added and promoted at once
    Then the raft change is refused as "not_caught_up"

  Scenario: Two membership changes at once
    # Two operators replace two hosts at the same moment. With both changes under way, two
    # majorities could have no member in common, and each accept changes of its own.
    Given a raft cluster of 5 members with 5 commands
    When two raft members are removed at the same moment
    Then the raft change is refused as "not_ready"
    And the raft membership has 4 voters

  Scenario: A removed member hears of it
    # An operator takes a host out while it runs. If it never heard of it, it would ask for votes
    # for as long as it runs, and look like a host that has lost its leader.
    Given a raft cluster of 5 members with 5 commands
    When a raft follower is removed and 3 seconds pass
    Then the removed raft member is no voter and sends nothing any more

  Scenario: A planned stop of the leader
    # An operator stops the leader's host. Without a hand-over every change would wait until the
    # others notice that the leader is gone.
    Given a raft cluster of 5 members with 20 commands
    When the raft leader hands over
    Then another raft member leads within 50 ms
    And at no time two raft members held a lease

  Scenario: The leader's disk fails
    # A write or a sync fails, perhaps because the disk is full. What is on disk is unknown from
    # then on. If the host went on acknowledging, accepted changes would vanish at its next start.
    Given a raft cluster of 3 members with 20 commands
    When the disk of the raft leader fails
    Then another raft member leads within 50 ms
    And the failed raft member acknowledges, votes and leads no more
    And all raft members have the same state, with every acknowledged command

  Scenario: A slow disk holds up acknowledgements but no heartbeats
    # A disk that takes a second for a sync is slow, not dead. If heartbeats waited for it, the
    # leader would be deposed again and again.
    Given a raft cluster of 3 members with 5 commands
    When every raft disk takes 2000 ms for a write while commands go on
    Then the raft term rose by at most 0
    And all raft members have the same state, with every acknowledged command

  Scenario: The leader is lost while every disk is slow
    # A vote counts only once it is on disk. With disks that need longer for that than a member
    # waits before it stands for election again, every attempt would end the one before, and there
    # would be no leader for as long as the disks are slow.
    Given a raft cluster of 5 members with 5 commands
    When every raft disk takes up to 1500 ms for a write and the leader is lost
    Then another raft member leads within 12000 ms

  Scenario: A link breaks in the middle of a snapshot
    # A host that was away for long is sent the whole state. If each broken link began it anew, a
    # host behind a bad line would never catch up.
    Given a raft cluster of 3 members with 20 commands
    When a raft follower misses 200 commands and each 2nd piece of its snapshot is lost
    Then no raft piece arrived that the follower had already

  Scenario: The host whose loss brought an election about
    # An operator lets another host depart right after the leader's host is lost. If the new leader
    # took the lost one for running, the departure would be let through and leave no host to spare.
    Given a raft cluster of 5 members with 5 commands
    When the raft leader is lost and another one leads
    Then the new raft leader never takes the lost one for running, but soon all others

  Scenario: A peer that takes nothing
    # A peer stops reading. The leader must not queue the whole log for it in memory.
    Given a raft cluster of 3 members with 5 commands
    When a raft follower answers no append while 100 commands are proposed
    Then the raft leader sent it at most 8 appends in each 200 ms
