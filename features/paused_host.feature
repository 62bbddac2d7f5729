Feature: A host that was paused does not act on what it knew before

  Scenario Outline: A gather at a host that was paused, and <news>
    # Guards against a host that wakes up, and sends a gather that the others have found to crash
    # servers to one of every shard.
    Given a host that checks for pauses each 100 ms
    When it is paused for <pause> ms, and <news>
    Then a gather runs <how>

    Examples:
      | pause | news                                         | how                    |
      | 0     | nothing has come from the leader             | on all servers at once |
      | 400   | nothing has come from the leader             | on all servers at once |
      | 600   | nothing has come from the leader             | on one server first    |
      | 600   | the leader's old messages are read           | on one server first    |
      | 600   | the leader is heard 100 ms later             | on all servers at once |
      | 600   | a new leader is heard, without its lists yet  | on one server first    |
      | 600   | a new leader has sent its lists               | on all servers at once |
      | 600   | the leader names it as a suspect 100 ms later | on one server first    |
      | 600   | the leader says nothing for 2 s              | on all servers at once |

  Scenario: A gather whose sends wait for connections while its host is paused
    # Guards against the same in a gather that was received before the pause.
    Given 8 shards of 2 servers that end each connection on which a gather comes
    When the host is paused after it began to send a gather
    Then the gather has reached 1 server

  Scenario: A harmless gather whose sends wait for connections while its host is paused
    # Guards against a pause that costs a gather parts, or retries that others need.
    Given 8 shards of 2 servers that answer
    When the host is paused after it began to send a gather
    Then the gather is answered with all parts, and without a retry
