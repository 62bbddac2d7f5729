Feature: Admission of requests to the entry's core

  Scenario Outline: A request refused on arrival has not run
    # The caller is told "not run" and resends the request to another entry. If a shard request had
    # been sent, the work would be done twice.
    Given an entry core that "<state>"
    When a request arrives at the core
    Then the core refuses it at once as <kind> and sends no shard request for it

    Examples:
      | state                                | kind               |
      | is stopping                          | stopping           |
      | has an expired lease                 | lease_expired      |
      | has no shard map                     | no_snapshot        |
      | has a rule that refuses the request  | refused_by_rule    |
      | has quarantined the body             | quarantined        |
      | has seen no answer faster than 50 ms | deadline_too_short |

  Scenario Outline: A stop or an expired lease does not abort running queries
    # An operator stops an entry, or the entry loses control. Callers still wait for the queries that
    # are running.
    Given a core with a running query
    When the core <event>
    Then the running query is answered in full

    Examples:
      | event            |
      | is told to stop  |
      | loses its lease  |

  Scenario: Requests are accepted again once the lease is renewed
    Given an entry core that "has an expired lease"
    When the core's lease is renewed
    Then a new request at the core is sent

  Scenario: Queued requests start by priority, then by deadline
    # A month-end batch has filled the entry when a conflict check arrives. If it had to wait for the
    # batch, it would miss its deadline.
    Given a core whose limit admits one query
    When queries are queued at the core as "batch/900 normal/500 urgent/800 normal/300 urgent/600"
    Then the core starts them in the order "urgent/600 urgent/800 normal/300 normal/500 batch/900"

  Scenario: A more urgent request evicts the last one from a full queue
    # The queue is full of batch requests. The urgent request replaces the last of them, which is
    # refused at once as not run, with a retry-after time.
    Given a core whose limit admits one query and whose queue holds 3
    When queries are queued at the core as "batch/900 batch/800 batch/850 urgent/600"
    Then the request "batch/900" is refused as overloaded with a retry-after time

  Scenario: A full queue refuses a request that is not more urgent
    Given a core whose limit admits one query and whose queue holds 3
    When queries are queued at the core as "normal/900 normal/800 normal/850 normal/600"
    Then the request "normal/600" is refused as overloaded with a retry-after time

  Scenario: A queued request is refused as soon as it cannot meet its deadline
    # The time left is shorter than any answer takes. If the request stayed queued, its caller would
    # learn of it only at the deadline. If it were sent, the servers would work for nothing.
    Given a core whose limit admits one query
    When queries are queued at the core as "normal/300"
    And the core's running query takes 400 ms
    Then the request "normal/300" is refused as overloaded with a retry-after time
    And the core refused it before 300 ms had passed

  Scenario: A caller that exceeds its rate gets a retry-after time
    # The month-end batch of one caller floods an entry. Other callers of the entry must not wait for
    # it.
    Given a core with a rule of 10 requests a second for each caller
    When caller "batch" sends 15 requests at once and caller "desk" sends 5
    Then 10 of caller "batch" and 5 of caller "desk" are sent
    And each refusal of the core is caller_limit with a retry-after time of 1 to 1000 ms
    When that time has passed in the core
    Then the next core request of caller "batch" is sent

  Scenario: A rule is limited to its share of the load
    # A rule for routine lookups may use a quarter of an upstream. A flood of lookups must leave
    # capacity for other requests.
    Given a core with a rule "log" limited to 0.25 of the load, and a rule for other requests
    When 40 queries of kind "log" arrive at the core
    Then the open shards of rule "log" are at most 0.25 of the limit plus one query
    And a query of kind "route" is sent at once

  Scenario: Urgent requests start even if lower priority classes have filled the limit
    # Routine lookups overload the entry. A conflict check that waited for some of them to end would
    # lose most of its time, although its few shard requests add little load to the servers.
    Given a core with a running query
    When 40 queries of kind "log" arrive at the core
    Then some of the queries of kind "log" are queued at the core
    And an urgent query of kind "conflict-check" is sent at once

  Scenario: Under overload urgent requests overtake lower priority classes at the entry
    # Servers have a single queue. If the entry let it fill with lookups, some shards of every
    # conflict check would wait in it and delay the whole answer.
    Given a core with a running query
    When answers report 12 queued requests while urgent requests arrive
    And 5 queries of kind "log" and then an urgent one arrive at the core
    Then at most 1 shard request of kind "log" is in flight for each shard
    And every shard request of the urgent one is in flight
    When the servers answer all shard requests of the core for 3000 ms
    Then every query at the core has its answer

  Scenario: Without urgent requests no class is held back
    # A zone is lost and the remaining servers have all the load. They can run it, with queues for a
    # while. Holding queries back for urgent requests that never come would cause many refusals.
    Given a core with a running query
    When answers report 6 queued requests for some time
    And 5 queries of kind "log" arrive at the core
    Then no shard request at the core waits for a server
    And the core's limit has risen above 3 shards

  Scenario: An entry that is short of processor time does not pace lower priority classes
    # Another process on the host delays the reading of answers, while the servers report empty
    # queues. If the latency counted as overload, lookups would be sent one by one with pauses and
    # some would be refused, although the servers have capacity for all of them.
    Given a core with a running query
    When answers report 0 queued requests for some time
    And answers take 400 ms longer and report an empty queue for some time
    And 5 queries of kind "log" and then an urgent one arrive at the core
    Then no shard request at the core waits for a server
    And the core's limit has risen above 3 shards

  Scenario: Canaries held back under overload hold back the other shards as well
    # The entry holds lower priority classes back. A body that crashes servers must not be sent to
    # all shards only because its canaries wait longer than canaries usually take.
    Given a core with canaries and 20 shards
    When answers report 12 queued requests while urgent requests arrive
    And 5 queries of kind "log" and then an urgent one arrive at the core
    And the servers answer nothing until one of kind "log" is sent
    Then each of the 5 bodies has at most 2 shard requests in flight or waiting for a server

  Scenario: The limit follows the queues at the servers
    # Twelve entries share the servers and none sees the traffic of the others. Only the servers'
    # load reports show when the entries together send too much.
    Given a core with a running query
    When answers report 6 queued requests for some time
    Then the core's limit has fallen below 20 shards
    When answers report 0 queued requests for some time
    Then the core's limit has risen above 20 shards

  Scenario: The deadline sent to servers leaves time for the answer's return
    Given a core with a running query
    Then each shard request's deadline is before the query's

  Scenario: A queued request is dropped when its caller disconnects
    Given a core whose limit admits one query
    When queries are queued at the core as "normal/900"
    And the caller of "normal/900" disconnects
    And the core's running query takes 10 ms
    Then no shard request of "normal/900" was ever sent
