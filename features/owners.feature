Feature: Shard requests through the owners of a server's connections

  Scenario Outline: Queries at every entry, with <owners> owners for each server
    # With more entries than a server allows connections, an entry without one of its own could
    # answer nothing that needs this server.
    Given an upstream for the entry of 4 shards with 2 servers each
    And 3 control hosts and 4 entries with links that go by <owners> owners for each server
    When 40 queries are sent to the entries by turns
    Then each of them was answered whole and right
    And each server of the upstream has connections of <owners> entries and none too many
    And some shard requests went through owners
    And the entries' dumps show the links that were used

    Examples:
      | owners |
      | 1      |
      | 2      |

  Scenario: An operator changes the number of owners under load and goes back
    # The old and the new owners hear of it one after the other. Both sharing out a server in full,
    # it would close connections with requests on them.
    Given an upstream for the entry of 4 shards with 2 servers that take 12 connections each
    And 3 control hosts and 4 entries with links that go by 2 owners for each server
    And callers use the entries that hold a lease without pause
    When the number of owners is changed to 1, then to 3, then to 0
    Then the callers of entries with owners go on to get only right answers
    And no server of the upstream had a connection too many

  Scenario: An owner is lost under load
    # A host fails with shard requests of other entries on it. They know of it before control does,
    # and the servers behind it are as well as before.
    Given an upstream for the entry of 4 shards with 2 servers each
    And 3 control hosts and 4 entries with links that go by 2 owners for each server
    And callers use the other entries than the last without pause
    When the last entry is lost
    Then the callers of entries with owners go on to get only right answers
    And no server of the upstream had a connection too many

  Scenario: An owner stops as planned under load
    # What it still runs for others it finishes; cut off, they would see shards missing.
    Given an upstream for the entry of 4 shards with 2 servers each
    And 3 control hosts and 4 entries with links that go by 2 owners for each server
    And callers use the other entries than the last without pause
    When the last entry stops as planned
    Then it cut off no request of another entry
    And the callers of entries with owners go on to get only right answers

  Scenario: A link to an owner goes silent
    # A device between two hosts loses track of a connection. Both ends think that it is well, and
    # every shard request on it would wait for its whole deadline.
    Given an upstream for the entry of 4 shards with 2 servers each
    And 3 control hosts and 4 entries with links that go by 2 owners for each server
    When the links of the last entry go silent and 20 queries are sent to the other entries
    Then each of them was answered whole and right

  Scenario: The owner of a dispatch is lost
    # The dispatch went out through an owner that is lost before the answer came. It may have run,
    # and it has. Sent again through the other owner, a second ambulance would go out.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    And 3 control hosts and 4 entries with links that go by 1 owners for each server
    When the booking "amb-3" has reached the upstream through an owner, which then is lost
    Then the entry answers the booking with "outcome_unknown" and "unknown"
    And the booking "amb-3" ran once at the upstream

  Scenario: A request crashes the servers behind an owner
    # The loss of a connection is seen by the owner; the body is known to the front. Without the
    # server's name the front could not tell a crash from the loss of the owner.
    Given an upstream for the entry of 5 shards with 2 servers each
    And each server of the upstream crashes on the word "poison"
    And 3 control hosts and 4 entries with links that go by 1 owners for each server
    And the entries were asked 4 times each
    When a query with the word "poison" is sent 12 times to the entries by turns
    Then at most 2 servers of the upstream crashed

  Scenario: Fronts ask an owner for more than its connections can carry
    # Each front keeps within its own bounds and knows nothing of the others. Taken in without end,
    # their requests would wait at the owner until nobody wants the answers.
    Given an upstream for the entry of 1 shards with 1 servers that take 4 connections each
    And each server of the upstream takes 20000 ms longer
    And 3 control hosts and 3 entries with links that go by 1 owners for each server
    When 20 shard requests are sent through the owner of a server at once
    Then the owner takes 16 of them and says "shed" to 4, of which no byte reached the server

  Scenario: A stranger opens a link to an owner
    # Whoever can reach the port could otherwise run what they like at the upstreams.
    Given an upstream for the entry of 2 shards with 1 server each
    And 3 control hosts and 2 entries with links that go by 1 owners for each server
    When a stranger without the secret opens a link to an entry
    Then the stranger is refused
