Feature: A host serves keys only while it has a lease on its configuration

  Scenario: A key that was taken away is not served later than the bound
    # A host that is cut off, frozen, restarted from its checkpoint or behind does not learn of the
    # change, and would serve the key for as long as it lasts. Clocks differ by up to a tenth.
    Then hosts serve a key only as a configuration within the bound says, whatever fails

  Scenario: Hosts in touch keep their leases while leaders change
    # Each change of leader takes up to 3 s until the hosts follow the new one. Guards against
    # callers that are refused although nothing but the leader is lost.
    Then no host in touch is without a lease while leaders are missing for up to 3000 ms

  Scenario Outline: What a confirmation is worth
    # The lease runs from the ask, as a change may have been acknowledged at any time after it.
    Given a host with a lease of 4000 ms that uses version <used>
    When its ask of 1000 ms is answered at <answered> ms with version <confirmed>
    Then it <serves> keys at <checked> ms

    Examples:
      | used | answered | confirmed | serves      | checked |
      | 6    | 1010     | 6         | serves      | 1010    |
      | 6    | 1010     | 6         | serves      | 4999    |
      | 6    | 1010     | 6         | refuses     | 5000    |
      | 6    | 4900     | 6         | serves      | 4990    |
      | 6    | 4900     | 6         | refuses     | 5000    |
      | 6    | 5100     | 6         | refuses     | 5100    |
      | 7    | 1010     | 6         | serves      | 2000    |
      | 5    | 1010     | 6         | refuses     | 1010    |

  Scenario: A confirmed version arrives after its confirmation
    Given a host with a lease of 4000 ms that uses version 5
    When its ask of 1000 ms is answered at 1010 ms with version 6
    And it uses version 6
    Then it serves keys at 4999 ms
    And it refuses keys at 5000 ms

  Scenario: Another host has used a newer version
    # A caller that was served by the newer version must not be served by an older one.
    Given a host with a lease of 4000 ms that uses version 6
    When its ask of 1000 ms is answered at 1010 ms with version 6
    And another host has used version 7
    Then it refuses keys at 1020 ms
    When it uses version 7
    Then it serves keys at 1030 ms

  Scenario: An answer that comes twice
    Given a host with a lease of 4000 ms that uses version 6
    When its ask of 1000 ms is answered at 1010 ms with version 6
    And the same answer arrives again
    Then it refuses keys at 5000 ms

  Scenario: No bound for revocations
    Given a host without a revocation bound
    Then it serves keys at 1000000 ms

  Scenario Outline: Settings that ask for a lease
    Given the platform's settings with strict revocation "<strict>" within "<bound>" ms
    Then a lease of the host lasts <duration> ms

    Examples:
      | strict | bound | duration |
      | true   | 5000  | 4000     |
      | true   | 1500  | 1200     |
      | false  | 5000  | unlimited |

  Scenario Outline: An invalid answer changes nothing
    Given a host with a lease of 4000 ms that uses version 6
    When its ask of 1000 ms is answered at 1010 ms with version 6
    And it receives the answer <number> with version <version>
    Then the answer is refused by its field "<field>", and logged
    And it serves keys at 4999 ms
    And it refuses keys at 5000 ms

    Examples:
      | number | version | field               |
      | 0      | 6       | LeaseAnswer.number  |
      | -1     | 6       | LeaseAnswer.number  |
      | 2      | 6       | LeaseAnswer.number  |
      | 1      | -1      | LeaseAnswer.version |

  Scenario Outline: A lease message with a wrong field is refused
    Then the lease message <message> is refused by its field "<field>"

    Examples:
      | message                   | field               |
      | ["LeaseAsk", []]          | LeaseAsk.number     |
      | ["LeaseAsk", ["1"]]       | LeaseAsk.number     |
      | ["LeaseAsk", [true]]      | LeaseAsk.number     |
      | ["LeaseAsk", [1, 2]]      | LeaseAsk.           |
      | ["LeaseAnswer", [1]]      | LeaseAnswer.version |
      | ["LeaseAnswer", [1, "6"]] | LeaseAnswer.version |

  Scenario: The leader answers asks only while it holds the lease of the log
    # A leader that was frozen wakes and reads the asks that wait in its sockets. Meanwhile another
    # host leads, and may have accepted a configuration that takes keys away.
    Given a leader with 2 hosts
    When all of them join within 100 ms, and serve callers from then on
    And a host asks for a lease with number 1
    And 1 second passes
    And the leader loses the lease of the log
    And a host asks for a lease with number 2
    And 1 second passes
    Then that host got the answers "1"
    And the other hosts got no answers

  Scenario: An invalid ask changes nothing
    Given a leader with 2 hosts
    When all of them join within 100 ms, and serve callers from then on
    And a host asks for a lease with number 0
    And a host asks for a lease with number 1
    And 1 second passes
    Then that host got the answers "1"
    And the ask is refused by its field "LeaseAsk.number", and logged

  Scenario Outline: Hosts ask only where it is needed, and only leaders that answer
    # A host of the earlier build closes a link over which it receives an ask. Hosts that asked it
    # would have no leader.
    Given a host of a tier that leads as "<role>"
    When a host <of a tier> follows it
    Then it <asks>

    Examples:
      | role            | of a tier                              | asks         |
      | control-leasing | with organisations and a bound         | asks         |
      | control         | with organisations and a bound         | does not ask |
      | control-leasing | without organisations                  | does not ask |
      | control-leasing | without a bound                        | does not ask |

  Scenario Outline: Requests of a host without a lease
    # After a loss of all power each host restarts from its checkpoint, and gets its first lease a
    # second later. Callers that are refused meanwhile have no attempt left then.
    Given a host that has used organisations since it started, <before> ms ago
    And its lease is <lease>
    When a request for "<path>" with key "key-1" and 1000 ms left arrives
    Then the request <ends> after <wait> ms

    Examples:
      | before | lease                        | path     | ends                       | wait |
      | 0      | confirmed for the first time | /paths/1 | runs                       | 200  |
      | 0      | never confirmed              | /paths/1 | is refused, lease_expired  | 400  |
      | 2600   | never confirmed              | /paths/1 | is refused, lease_expired  | 0    |
      | 0      | never confirmed              | /open/1  | runs                       | 0    |
      | 0      | never confirmed              | /none/1  | is refused, not_found      | 0    |
      | 6000   | lost                         | /paths/1 | is refused, lease_expired  | 0    |
      | 6000   | lost                         | /open/1  | runs                       | 0    |

  Scenario: A host uses organisations for the first time
    # The operator declares the first organisations. The next ask takes a round trip.
    Given a host that has used organisations since it started, 6000 ms ago
    And its configuration declares organisations only since now
    And its lease is confirmed for the first time
    When a request for "/paths/1" with key "key-1" and 1000 ms left arrives
    Then the request runs after 200 ms

  Scenario: A standby host without a lease
    # It decides the organisation itself, so that the key does not travel.
    Given a host that has used organisations since it started, 0 ms ago
    And it is a standby host
    And its lease is confirmed for the first time
    When a request for "/paths/1" with key "key-1" and 1000 ms left arrives
    Then the request is handed over after 200 ms

  Scenario: The lease runs out while a request waits for its turn
    # A host is frozen while requests wait in its queue. Guards against running them as it wakes.
    Given a host that has used organisations since it started, 0 ms ago
    And its lease is confirmed for the first time
    And its requests wait 4100 ms for their turn
    When a request for "/paths/1" with key "key-1" and 9000 ms left arrives
    Then the request is refused, lease_expired after 4300 ms
    And the token of its quota is given back

  Scenario Outline: Who holds a key after several configurations
    Given the configurations "<configurations>" are committed in this order
    Then "key-1" belongs to "<organisation>"

    Examples:
      | what                               | configurations              | organisation |
      | taken away, the last one of north  | 1:north=key-1 2:north=      |              |
      | given again                        | 1:north=key-1 2:north= 3:north=key-1 | north |
      | moved                              | 1:north=key-1 2:south=key-1 | south        |
      | an order resent after a newer one  | 1:north=key-1 2:north= 1:north=key-1 |     |
      | an order that is overtaken         | 1:north=key-1 3:north= 2:north=key-1 |     |
      | two operators, the same version    | 1:north=key-1 2:north= 2:north=key-1 |     |
      | the last organisation is removed   | 1:north=key-1 2:            |              |
