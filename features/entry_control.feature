Feature: Entries that are managed by control hosts

  Scenario: A booking is sent to two entries simultaneously and resent later
    # The answer to a booking is late, so the caller resends it to the same and to another entry. A
    # second run would broadcast the commercial twice.
    Given an upstream for the entry of 3 shards with 2 servers each
    And each server of the upstream takes 200 ms longer
    And 3 control hosts and 2 entries that hold a lease
    When the booking "spot-7" is sent to both entries simultaneously
    And the booking "spot-7" is resent to each entry
    Then the booking "spot-7" ran once at the upstream
    And at least one entry answered the first booking, and each entry answered the resent one

  Scenario: The entry that runs a booking fails
    # The host fails after it sent the booking and before it received the answer, so it is unknown
    # whether the booking ran. When it is resent, it must not run, and the caller must not be told
    # that it did not run.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 20000 ms longer
    And 3 control hosts and 2 entries that hold a lease
    When the booking "room-12" has reached the upstream through entry 1, which then fails
    And the booking "room-12" is sent to entry 2 until it is no longer in progress
    Then the entry answers the booking with "outcome_unknown" and "unknown"
    And the booking "room-12" ran once at the upstream

  Scenario: The first server of each shard refuses a booking
    # A server that sheds load reports that the booking did not run, so another server may get it.
    Given an upstream for the entry of 3 shards with 2 servers each
    And the first server of each shard of the upstream sheds
    And 3 control hosts and 2 entries that hold a lease
    When 10 bookings are sent to the entries
    Then each booking ran once at the upstream and was answered

  Scenario: A request crashes each server that runs it
    # A malformed body triggers a bug in the upstream. The caller treats each failure as transient
    # and resends the request to one entry after the other. Without a quarantine in the whole tier,
    # all servers would crash one by one. An entry learns of the crashes at other entries through
    # control; a caller that resends faster than that can crash two more servers at each entry.
    Given an upstream for the entry of 5 shards with 2 servers each
    And each server of the upstream crashes on the word "poison"
    And 3 control hosts and 2 entries that hold a lease
    And the entries were asked 4 times each
    When a query with the word "poison" is sent 12 times to the entries by turns
    Then at most 2 servers of the upstream crashed
    And soon the entries answer other queries completely

  Scenario: All control hosts fail
    # No lease can be renewed. The entries' rules may diverge, so they refuse requests with not_run
    # and close their connections, because these may be assigned to other entries.
    Given an upstream for the entry of 2 shards with 1 server each
    And 3 control hosts and 2 entries that hold a lease
    When all control hosts of the entries fail
    Then soon each entry refuses with "lease_expired" and "not_run"
    And soon each server of the upstream has 0 connections

  Scenario: An operator plans the stop of an entry
    # The entry itself is notified, and all others stop advertising it to callers.
    Given an upstream for the entry of 2 shards with 1 server each
    And 3 control hosts and 2 entries that hold a lease
    When an operator plans the stop of entry 2 through control
    Then soon entry 1 advertises only entry 1 to callers
    And soon entry 2 has been asked to stop

  Scenario: Entries join while others hold all connections of a server
    # A server accepts few connections, and each new entry needs some. Control assigns the
    # connections, and one that an entry gives up is assigned again only after it has been closed.
    Given an upstream for the entry of 2 shards with 2 servers that take 6 connections each
    And the upstream's new connections cost 6 ms
    And 3 control hosts and 1 entries that hold a lease
    And queries are sent to the entries without a pause
    When 2 more entries join and hold a lease
    And the queries to the entry end
    Then no server of the upstream had a connection too many
    And no answer of an entry was wrong
