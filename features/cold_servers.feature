Feature: Cold servers and evacuated availability zones

  Scenario Outline: All hosts together send a cold server no more than it can handle
    # A server that starts, or whose cache is emptied, crashes under its usual load.
    Given <hosts> hosts that know 3 servers of an upstream with cold rate <cold_rate> per second
    When one server becomes cold for 3 seconds while each host sends <rate_each> requests a second
    Then it gets at most <most> requests in any second, and at least 1 in total
    And the other servers get the rest

    Examples:
      | hosts | cold_rate | rate_each | most |
      | 1     | 0         | 40        | 5    |
      | 6     | 0         | 10        | 5    |
      | 6     | 4         | 20        | 11   |
      | 12    | 1         | 5         | 6    |

  Scenario Outline: The owner of a server changes while it is cold
    # One host is partitioned and continues with its old view, and another one takes over.
    Given 6 hosts that know 3 servers of an upstream with cold rate <cold_rate> per second
    When one server becomes cold for 3 seconds while each host sends 20 requests a second
    And after 1 second the other hosts have lost its owner, which continues
    Then it gets at most <most> requests in any second, and at least 1 in total

    Examples:
      | cold_rate | most |
      | 0         | 5    |
      | 4         | 11   |

  Scenario: All servers of an upstream are cold
    # The limit holds even if no other server is left; callers are told at once that nothing ran.
    Given 6 hosts that know 3 servers of an upstream with cold rate 0 per second
    When all servers become cold for 3 seconds while each host sends 20 requests a second
    Then each server gets at most 5 requests in any second
    And requests that can't be served are refused as not run within 250 ms

  Scenario: A deployment without a limit for cold servers
    # Nothing is held back where operators declare no limit.
    Given 2 hosts that know 3 servers of an upstream without a limit for cold servers
    When all servers become cold for 3 seconds while each host sends 20 requests a second
    Then every request is sent

  Scenario: The list shows again that a known server is cold
    # The platform may empty the cache of a server at any moment without restarting it.
    Given a list reader that knows a server which started long ago
    Then these readings are passed on as shown
      | after_ms | warm_up_ms | passed_on |
      | 1000     | 0          | no        |
      | 1000     | 3000       | yes       |
      | 1000     | 2000       | no        |
      | 1000     | 1000       | no        |
      | 500      | 3000       | yes       |
      | 4000     | 0          | yes       |
      | 1000     | 0          | no        |

  Scenario: A zone is evacuated, and used again
    # Not even a hedge or a retry may go there. Afterwards its servers may be cold although the list
    # does not show it yet.
    Given 1 hosts that know 3 servers of an upstream with cold rate 0 per second
    When zone "zone-0" is evacuated while each host sends 20 requests a second
    Then its server gets nothing
    When the evacuation is cancelled and each host sends 20 requests a second
    Then its server gets at most 5 requests in any second, and at least 1 in total

  Scenario: A server of an evacuated zone is listed only afterwards
    Given 1 hosts that know 3 servers of an upstream with cold rate 0 per second
    When zone "zone-0" is evacuated and then a new server appears there
    Then none of its servers is used

  Scenario Outline: Evacuation orders in the replicated log
    # An order is repeated, two operators send orders at once, and a member starts from a snapshot.
    Given a configuration register with configuration 7
    When these orders are applied: <orders>
    Then the zones "<zones>" are evacuated after <changes> changes
    And a register restored from its snapshot has the same state

    Examples:
      | orders      | zones | changes |
      | +a          | a     | 1       |
      | +a +a       | a     | 1       |
      | +a -a       |       | 2       |
      | -a          |       | 0       |
      | +b +a -b +c | a c   | 4       |
      | +a -a +a    | a     | 3       |

  Scenario: A snapshot of an earlier release
    Given a snapshot that holds configuration 7 alone
    Then a register restored from it has configuration 7 and no evacuated zone

  Scenario: An older order arrives late
    # A host learns the state from a stored file, from hosts without a leader and from the leader.
    Given a node with version 5 of the evacuations
    Then versions 4 and 5 change nothing, and version 6 is adopted

  Scenario: A host learns of evacuations before anything that lets it serve
    # In the opposite order it would send requests to an evacuated zone in between.
    Given updates of a configuration, servers, hosts and an evacuated zone
    Then a host that has just joined receives the evacuated zone first, but for the quarantines
