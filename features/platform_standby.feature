Feature: Standby hosts of the users' platform

  Scenario: A tier with more hosts than it needs
    # Guards against hosts that cannot answer because they have no server list.
    Given a platform tier of 3 hosts with a disk and 23 without, all of which are ready
    Then some of its hosts are standby hosts, without a server list
    And a query at each host gets the 4 greatest records of 3 shards with their seals
    And an order at each host gets one server's own bytes, and ran once
    And a request for a path without a route gets 404 at each host
    When the caller of a slow order at a standby host leaves
    Then the server's work for it is cancelled
    And the operator's next configuration is accepted and served everywhere

  Scenario: A tier with standby hosts loses its leader
    # Guards against hosts that hand requests over to a lost host.
    Given a platform tier of 3 hosts with a disk and 23 without, all of which are ready
    When the leading host of the platform tier is killed
    Then each remaining host eventually answers a query

  Scenario: All active hosts are killed at once
    # Guards against callers that are sent to killed hosts, and against standby hosts that hand
    # requests over to them, while most hosts of the tier run and no leader is left to tell them.
    Given a platform tier of 3 hosts with a disk and 23 without, all of which are ready
    When all hosts that callers are sent to are killed at once
    Then no remaining host advertises a killed one
    And each remaining host eventually answers a query
