Feature: A host finds the leader

  Scenario: A host that names itself does not keep others from the leader
    # The former leader is isolated from the other members of the log, but not from this host. It no
    # longer leads and redirects to itself. A host that followed each of its redirects would keep an
    # old configuration for good.
    Given a host of a tier that names itself as the leader but does not lead
    And a host of a tier that leads
    When a third host that knows both searches for the leader
    Then it follows the one that leads, and has its configuration

  Scenario: Two hosts that name each other
    # Neither leads; each one last knew the other as the leader.
    Given two hosts of a tier that name each other as the leader
    And a host of a tier that leads
    When a third host that knows both searches for the leader
    Then it follows the one that leads, and has its configuration

  Scenario: There is no leader, but a host has a configuration that was in force
    # The log has lost its majority or has not elected a leader yet. A host without a disk that
    # starts now would refuse its callers although another host has the state it needs.
    Given a host of a tier that has a configuration and no leader
    When a third host that knows both searches for the leader
    Then it has that configuration, and continues to search for a leader

  Scenario: A host that serves applies no older state from a host without a leader
    # The other host missed changes while it was down. Its checkpoint would undo them here.
    Given a host of a tier that has a configuration and no leader
    When a third host that has a newer one searches for the leader
    Then it still has the newer one

  Scenario: The leader announces itself to a host that knows no other host
    # All hosts were restarted, and the only seed of this one is lost.
    Given a host of a tier that leads
    When a third host that knows no other host receives the leader's announcement
    Then it follows the one that leads, and has its configuration

  Scenario: The last host of a round names the leader
    # After a restart a host knows one other host. If it followed the redirect only in the next
    # round, it would have no configuration until then and refuse its callers.
    Given a host of a tier that names the next one
    And a host of a tier that leads
    When a third host that knows only the first searches for the leader once a minute
    Then it follows the one that leads, and has its configuration

  Scenario: A host that does not answer does not block the search
    # The machine of a seed has lost power. Connections to it neither open nor fail.
    Given a host of a tier that accepts connections and never answers
    And a host of a tier that leads
    When a third host that knows both searches for the leader
    Then it follows the one that leads, and has its configuration

  Scenario: There is no leader, and the tier is large
    # Guards against a hundred hosts that all read the server list and connect to all servers after
    # a restart.
    Given a host of a tier of 100 that has a configuration and no leader
    When a third host that knows both searches for the leader
    Then it has that configuration, and continues to search for a leader
    And it is a standby host without a leader

  Scenario: There is no leader, and the tier is small
    Given a host of a tier that has a configuration and no leader
    And a host of a tier that names itself as the leader but does not lead
    When a third host that knows both searches for the leader
    Then it has that configuration, and continues to search for a leader
    And it is not a standby host
