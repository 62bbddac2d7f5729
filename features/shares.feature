Feature: Connection shares

  Scenario Outline: What a divisor allows
    Then <entries> entries may hold <each> connections each of <limit>, and <spare> are spare

    Examples:
      | entries | limit | each | spare |
      | 12      | 30    | 2    | 6     |
      | 11      | 30    | 2    | 8     |
      | 12      | 130   | 10   | 10    |
      | 12      | 50    | 4    | 2     |
      | 410     | 30    | 0    | 30    |

  Scenario: A new entry gets its share only after the others have made room
    # Eleven entries hold an eleventh each when a twelfth comes. Handed its share at once, it would
    # open connections that the server refuses, as the others still hold theirs, and its first
    # queries would fail.
    Given 11 entries that share the connections of each server
    When a share is asked for by one more entry
    Then the new entry has no share yet
    When the others say one after the other that they obey the smaller share
    Then the new entry has a share only after the last of them

  Scenario: The share of an entry that died is given out only when its connections are closed
    # An entry that is cut off from control still finishes what it runs. Its share given away at
    # once, a server would see more connections than it allows.
    Given 2 entries that share the connections of each server
    When one of them is taken out at 1000 ms with connections that may be open until 3000 ms
    Then the other one keeps its share at 2999 ms and has all at 3000 ms

  Scenario: A new leader raises no share that it can't vouch for
    # The leader before may have raised a share in its last moment, and its table went with it.
    Given 2 entries of whose shares a new leader knows nothing
    When one of them asks for a larger share
    Then it keeps its share until the other has said what it obeys

  Scenario: A new leader leaves time for entries that were taken out just before
    # The old leader took an entry out and lost its leadership. The entry may still finish what it
    # runs, on connections that the new leader has never heard of.
    Given a leader that begins at 1000 ms, 500 ms after an entry was taken out
    When an entry that obeys a third renews at 2999 ms and at 3000 ms
    Then its share stays a third and then is raised to all

  Scenario: A share that was given up is not taken up again by an answer on its way
    # The entry was cut off for so long that it closed its connections, after it had sent a renewal
    # in which it still named its share. The answer comes now. What it was told to keep, the leader
    # may have given to others meanwhile.
    Given an entry that obeys a third and is cut off
    When the answer to a renewal comes after it gave up its share
    Then it has a lease and no share

  Scenario: Owners change while messages are lost and entries come and go
    # An owner is lost, or an operator wants another number of owners, and one entry hears of it
    # before the other. Each goes by its own list of owners, and a server that both lists share out
    # in full closes connections with requests on them.
    Then no server has a connection too many under 300 random schedules of owners

  Scenario Outline: What an entry may hold to a server once all go by the same owners
    Given <entries> entries with links in 2 zones that go by <owners> owners for each server
    Then a server that takes <limit> connections has <held> of them from <count> entries of its zone

    Examples:
      | entries | owners | limit | count | held |
      | 6       | 2      | 30    | 2     | 28   |
      | 6       | 1      | 30    | 1     | 27   |
      | 6       | 2      | 1     | 1     | 1    |
      | 60      | 2      | 30    | 2     | 28   |

  Scenario: An owner is lost, and only its servers change hands
    # Until the lost owner's connections are certainly closed nobody may take its place, and the
    # other owners have to keep what they hold, or its servers would be out of reach meanwhile.
    Given 6 entries with links in 2 zones that go by 2 owners for each server
    When an owner is lost
    Then its servers keep their other owner for 5000 ms, and have 2 owners in the end
