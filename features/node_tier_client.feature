Feature: A host finds the leader

  Scenario: A host that names itself doesn't keep others from the leader
    # The host that led is cut off from the others that have a disk, but not from this one. It does
    # not lead any more, and names itself or nobody. Whoever believed it each time served by an old
    # configuration for good.
    Given a host of a tier that names itself as the leader but does not lead
    And a host of a tier that leads
    When a third host that knows both looks for the leader
    Then it follows the one that leads, and has its configuration

  Scenario: Two hosts that name each other
    # Neither leads; each has last heard of the other.
    Given two hosts of a tier that name each other as the leader
    And a host of a tier that leads
    When a third host that knows both looks for the leader
    Then it follows the one that leads, and has its configuration

  Scenario: The leader introduces itself to a host that knows nobody
    # All hosts were restarted, and the only seed of this one is gone.
    Given a host of a tier that leads
    When a third host that knows nobody is told of the leader
    Then it follows the one that leads, and has its configuration

  Scenario: The last host that is asked names the leader
    # After a restart a host knows one other. Were its word followed only in the next round, the host
    # would have no configuration for that much longer, and its callers would be refused.
    Given a host of a tier that names the next one
    And a host of a tier that leads
    When a third host that knows only the first, and asks once a minute, looks for the leader
    Then it follows the one that leads, and has its configuration

  Scenario: A host from which nothing comes is left for the next one
    # The machine of a seed has lost power. Connections to it neither open nor fail.
    Given a host of a tier that takes connections and says nothing
    And a host of a tier that leads
    When a third host that knows both looks for the leader
    Then it follows the one that leads, and has its configuration
