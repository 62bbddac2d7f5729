Feature: Shard requests through the owners of a server's connections

  Scenario Outline: Queries at every entry, with <owners> owners for each server
    # If there are more entries than a server allows connections, an entry without a connection
    # could not answer queries that need this server.
    Given an upstream for the entry of 4 shards with 2 servers each
    And 3 control hosts and 4 entries with links and <owners> owners for each server
    When 40 queries are sent to the entries by turns
    Then each of them got a complete and correct answer
    And each server of the upstream has connections of <owners> entries and no more than its limit
    And some shard requests were sent through owners
    And the entries' dumps show the links that were used

    Examples:
      | owners |
      | 1      |
      | 2      |

  Scenario: An operator changes the number of owners under load and reverts the change
    # The old and the new owners learn of it at different times. If both used all connections of a
    # server, it would close connections with requests on them.
    Given an upstream for the entry of 4 shards with 2 servers that take 12 connections each
    And 3 control hosts and 4 entries with links and 2 owners for each server
    And callers use the entries that hold a lease without pause
    When the number of owners is changed to 1, then to 3, then to 0
    Then the callers of entries with owners still get only correct answers
    And no server of the upstream had a connection too many

  Scenario: An owner is lost under load
    # A host fails while it runs shard requests of other entries. They notice it before control
    # does, and the servers it owns are still healthy.
    Given an upstream for the entry of 4 shards with 2 servers each
    And 3 control hosts and 4 entries with links and 2 owners for each server
    And callers use all entries except the last without a pause
    When the last entry is lost
    Then the callers of entries with owners still get only correct answers
    And no server of the upstream had a connection too many

  Scenario: An owner performs a planned stop under load
    # The owner finishes the requests of other entries; if it aborted them, shards would be missing
    # from their answers.
    Given an upstream for the entry of 4 shards with 2 servers each
    And 3 control hosts and 4 entries with links and 2 owners for each server
    And callers use all entries except the last without a pause
    When the last entry performs a planned stop
    Then it aborted no request of another entry
    And the callers of entries with owners still get only correct answers

  Scenario: A link to an owner goes silent
    # A device between two hosts loses the state of a connection. Both ends consider it open, and
    # every shard request on it would wait until its deadline.
    Given an upstream for the entry of 4 shards with 2 servers each
    And 3 control hosts and 4 entries with links and 2 owners for each server
    When the links of the last entry go silent and 20 queries are sent to the other entries
    Then each of them got a complete and correct answer

  Scenario: The owner is lost while it runs a non-idempotent request
    # A non-idempotent request was sent through an owner that is lost before the answer arrives. It
    # has run. If it were sent again through the other owner, it would run twice.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    And 3 control hosts and 4 entries with links and 1 owners for each server
    When the booking "amb-3" has reached the upstream through an owner that is then lost
    Then the entry answers the booking with "outcome_unknown" and "unknown"
    And the booking "amb-3" ran once at the upstream

  Scenario: A request crashes the servers behind an owner
    # The owner sees the loss of the connection, and the requesting entry knows the body. Without
    # the server's name, that entry could not tell a server crash from the loss of the owner.
    Given an upstream for the entry of 5 shards with 2 servers each
    And each server of the upstream crashes on the word "poison"
    And 3 control hosts and 4 entries with links and 1 owners for each server
    And the entries were asked 4 times each
    When a query with the word "poison" is sent 12 times to the entries by turns
    Then at most 2 servers of the upstream crashed

  Scenario: Entries send an owner more requests than its connections can carry
    # Each requesting entry keeps its own limits and knows nothing of the others. In an unbounded
    # queue at the owner, their requests would wait past their deadlines.
    Given an upstream for the entry of 1 shards with 1 servers that take 4 connections each
    And each server of the upstream takes 20000 ms longer
    And 3 control hosts and 3 entries with links and 1 owners for each server
    When 20 shard requests are sent through the owner of a server at once
    Then the owner accepts 16 of them and refuses 4 with "shed", of which no byte reaches the server

  Scenario: A peer without the secret opens a link to an owner
    # Without this check, anyone who reaches the port could send requests to the upstreams.
    Given an upstream for the entry of 2 shards with 1 server each
    And 3 control hosts and 2 entries with links and 1 owners for each server
    When a peer without the secret opens a link to an entry
    Then the peer without the secret is refused
