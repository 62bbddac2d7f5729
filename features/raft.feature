Feature: The replicated log as a state machine

  Scenario: Members of the replicated log keep their promises under random schedules of faults
    # Messages are lost, doubled, late and out of order, hosts crash and lose what they had not
    # synced, networks split, also one way only, disks are slow or fail, and meanwhile operators
    # replace hosts. Without care a change that was answered as accepted disappears, or two hosts
    # answer differently.
    Then 80 random raft schedules break no promise
