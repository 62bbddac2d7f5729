Feature: Servers that are cold, and availability zones that are evacuated

  Scenario Outline: A cold server gets no more than it bears, from all hosts together
    # A server that starts, or is emptied, crashes under its usual load.
    Given <hosts> hosts that know 3 servers of an upstream that bears <rate> requests a second cold
    When one server becomes cold for 3 seconds while each host asks <each> times a second
    Then it gets at most <most> requests in any second, and at least 1 in all
    And the others get the rest

    Examples:
      | hosts | rate | each | most |
      | 1     | 0    | 40   | 5    |
      | 6     | 0    | 10   | 5    |
      | 6     | 4    | 20   | 11   |
      | 12    | 1    | 5    | 6    |

  Scenario Outline: Who owns a server changes while it is cold
    # One host is cut off and goes on by what it knew, and another one takes its place.
    Given 6 hosts that know 3 servers of an upstream that bears <rate> requests a second cold
    When one server becomes cold for 3 seconds while each host asks 20 times a second
    And its owner is gone for all others but goes on after 1 second
    Then it gets at most <most> requests in any second, and at least 1 in all

    Examples:
      | rate | most |
      | 0    | 5    |
      | 4    | 11   |

  Scenario: All servers of an upstream are cold
    # The bound holds even if nobody else is left to ask; callers are told at once that nothing ran.
    Given 6 hosts that know 3 servers of an upstream that bears 0 requests a second cold
    When all servers become cold for 3 seconds while each host asks 20 times a second
    Then each server gets at most 5 requests in any second
    And whoever can't be served is told within 250 ms that nothing ran

  Scenario: A deployment without such a bound
    # Nothing is held back where operators declare no bound.
    Given 2 hosts that know 3 servers of an upstream without a bound for cold servers
    When all servers become cold for 3 seconds while each host asks 20 times a second
    Then every request is sent

  Scenario: The list says again that a known server is cold
    # The platform may empty a server at any moment without a new start of it.
    Given the reader of a list with a server that started long ago
    Then these readings are passed on or not
      | after_ms | warm_up_ms | passed_on |
      | 1000     | 0          | no        |
      | 1000     | 3000       | yes       |
      | 1000     | 2000       | no        |
      | 1000     | 1000       | no        |
      | 500      | 3000       | yes       |
      | 4000     | 0          | yes       |
      | 1000     | 0          | no        |

  Scenario: A zone is evacuated, and used again
    # Not even a hedge or a retry may go there; afterwards its servers may be cold although the list
    # does not say so yet.
    Given 1 hosts that know 3 servers of an upstream that bears 0 requests a second cold
    When zone "zone-0" is evacuated while each host asks 20 times a second
    Then its server gets nothing
    When the evacuation is taken back and each host asks 20 times a second
    Then its server gets at most 5 requests in any second, and at least 1 in all

  Scenario: A server of an evacuated zone is listed only afterwards
    Given 1 hosts that know 3 servers of an upstream that bears 0 requests a second cold
    When zone "zone-0" is evacuated and then a new server appears there
    Then none of its servers may be asked

  Scenario Outline: Orders about zones in the replicated log
    # An order comes again, two operators order at once, and a member starts from a snapshot.
    Given a configuration register with configuration 7
    When these orders are applied: <orders>
    Then the zones "<zones>" are evacuated after <changes> changes
    And a register restored from its snapshot says the same

    Examples:
      | orders            | zones | changes |
      | +a                | a     | 1       |
      | +a +a             | a     | 1       |
      | +a -a             |       | 2       |
      | -a                |       | 0       |
      | +b +a -b +c       | a c   | 4       |
      | +a -a +a          | a     | 3       |

  Scenario: A snapshot of an earlier release
    Given a snapshot that holds configuration 7 alone
    Then a register restored from it has configuration 7 and no evacuated zone

  Scenario: An older order arrives late
    # A host hears of the state from a kept file, from hosts without a leader and from the leader.
    Given a node that knows of evacuations number 5
    Then word of number 4 and of number 5 changes nothing, and number 6 is taken

  Scenario: A host hears of evacuations before anything that lets it serve
    # Heard later, it would send requests to an evacuated zone in between.
    Given news of a configuration, servers, hosts and an evacuated zone
    Then a host that has just joined is told of the zone first
