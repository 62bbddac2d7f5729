Feature: The first seconds of a host that has just started

  Scenario Outline: The first gathers of a host without connections
    # Guards against a host whose first requests are late although all servers are idle: their
    # connections come after hundreds that nobody waits for, and each part is asked for twice.
    Given a host without connections, and <shards> shards with 3 servers each
    When it receives the server list, and a gather every 110 ms from then on
    Then its first answer takes at most <first> ms
    And its answers from the second on take at most <later> ms
    And at most a tenth of the parts of the first gather were asked for twice

    Examples:
      | shards | first | later |
      | 90     | 100   | 100   |
      | 135    | 130   | 110   |

  Scenario: Servers that accept no connections
    # Guards against a host that waits for connections that never open, because many of its
    # requests wait.
    Given a host without connections, and 90 shards with 3 servers each
    When one server of every second shard accepts no connections
    And it receives the server list, and a gather every 110 ms from then on
    Then its first answer takes at most 250 ms
    And its answers after the first second are complete and take at most 100 ms

  Scenario: Connections that requests wait for are opened first
    Given a queue of 400 connections that nobody waits for
    When requests begin to wait for the last 100 of them
    Then these 100 are the next to be opened, at most 64 at the same time
    And 16 of the others are opened at the same time after that
