Feature: Connection shares

  Scenario Outline: Connections that a divisor allows
    Then <entries> entries may hold <each> connections each of <limit>, and <spare> are unused

    Examples:
      | entries | limit | each | spare |
      | 12      | 30    | 2    | 6     |
      | 11      | 30    | 2    | 8     |
      | 12      | 130   | 10   | 10    |
      | 12      | 50    | 4    | 2     |
      | 410     | 30    | 0    | 30    |

  Scenario: A new entry gets a share only after the others have reduced theirs
    # Eleven entries hold an eleventh each when a twelfth starts. With an immediate share it would
    # open connections that the server refuses, because the others still hold theirs, and its first
    # queries would fail.
    Given 11 entries that share the connections of each server
    When one more entry requests a share
    Then the new entry has no share yet
    When the others confirm the smaller share one after the other
    Then the new entry has a share only after the last confirmation

  Scenario: The share of a removed entry is reassigned only when its connections are closed
    # An entry without a connection to control still finishes running requests. If its share were
    # reassigned immediately, a server would get more connections than its limit.
    Given 2 entries that share the connections of each server
    When one of them is removed at 1000 ms with connections that may be open until 3000 ms
    Then the other one keeps its share at 2999 ms and has the full share at 3000 ms

  Scenario: A new leader increases no share before all shares are known
    # The previous leader may have increased a share just before it failed, and its table is lost.
    Given 2 entries whose shares are unknown to a new leader
    When one of them requests a larger share
    Then it keeps its share until the other has reported its share

  Scenario: A new leader waits for the connections of a recently removed entry
    # The old leader removed an entry and lost its leadership. The entry may still finish running
    # requests on connections that are unknown to the new leader.
    Given a leader that starts at 1000 ms, 500 ms after an entry was removed
    When an entry with a third renews at 2999 ms and at 3000 ms
    Then its share stays a third and is then increased to the full share

  Scenario: A delayed grant does not restore a share that was given up
    # A disconnected entry sent a renewal with its share and then closed its connections when the
    # grace period ended. The grant arrives afterwards; meanwhile the leader may have given the
    # share to other entries.
    Given an entry with a third that is disconnected
    When the answer to a renewal arrives after it gave up its share
    Then it has a lease and no share

  Scenario: Owners change while messages are lost and entries join and fail
    # An owner fails, or an operator changes the number of owners, and one entry receives the update
    # before another. If two entries used different owner plans that each assign all connections of
    # a server, the server would close connections with requests on them.
    Then no server exceeds its connection limit in 300 random schedules of owners

  Scenario Outline: Connections of an owner once all entries use the same owner plan
    Given <entries> entries with links in 2 zones that go by <owners> owners for each server
    Then a server that takes <limit> connections has <held> of them from <count> entries of its zone

    Examples:
      | entries | owners | limit | count | held |
      | 6       | 2      | 30    | 2     | 28   |
      | 6       | 1      | 30    | 1     | 27   |
      | 6       | 2      | 1     | 1     | 1    |
      | 60      | 2      | 30    | 2     | 28   |

  Scenario: When an owner is lost, only its servers get new owners
    # No entry may replace the lost owner until its connections are certainly closed. Meanwhile the
    # other owners have to keep their connections, or its servers would be unreachable.
    Given 6 entries with links in 2 zones that go by 2 owners for each server
    When an owner is lost
    Then its servers keep their other owner for 5000 ms, and have 2 owners in the end
