Feature: Keys that are taken away from callers of the platform

  Scenario Outline: A key is taken away while a host is frozen
    # The machine of a host is suspended while the key is taken away. Requests wait in its sockets
    # when it wakes, and it still has the configuration with the key.
    Given a platform tier of 3 hosts whose keys are revoked within 3000 ms
    When <a host> is frozen, and the key of "north" is taken away
    And the bound passes, and requests with both keys arrive at the frozen host
    And the frozen host wakes
    Then none of the waiting requests with the key that was taken away has run
    And each host refuses that key with 401, and serves the other one
    And the frozen host has logged that it lost and regained its lease

    Examples:
      | a host                   |
      | a host that doesn't lead |
      | the leading host         |

  Scenario: A host restarts from its checkpoint without a leader
    # It can't know whether a key was taken away since. Public routes need no key.
    Given a platform tier of 3 hosts whose keys are revoked within 3000 ms
    When all hosts are killed, and only the first one starts again
    Then it refuses the key of "north" as not run, with a Retry-After
    And it serves a public route

  Scenario: All hosts restart
    Given a platform tier of 3 hosts whose keys are revoked within 3000 ms
    When all hosts with keys are killed and start again
    Then each host serves the key of "north" again
