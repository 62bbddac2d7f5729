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
