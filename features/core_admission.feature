Feature: Which requests start, wait or are refused

  Scenario Outline: What is refused on arrival is truly not run
    # The caller is told "not run" and sends the request to another entry. Had a shard request gone
    # out all the same, the work would be done twice.
    Given an arrival core that "<state>"
    When a request arrives at the core
    Then the core refuses it at once as <kind> and nothing of it was sent

    Examples:
      | state                                 | kind               |
      | is stopping                           | stopping           |
      | has outlived its lease                | lease_expired      |
      | has no shard map                      | no_snapshot        |
      | refuses it by rule                    | refused_by_rule    |
      | has the body under quarantine         | quarantined        |
      | knows answers to take 50 ms or longer | deadline_too_short |

  Scenario Outline: A stop or the end of the lease cuts off nothing that runs
    # An operator stops an entry, or it loses control. Queries that run have callers who wait.
    Given a core with a query under way
    When the core <event>
    Then the query under way is answered in full

    Examples:
      | event            |
      | is told to stop  |
      | loses its lease  |

  Scenario: A renewed lease lets requests in again
    Given an arrival core that "has outlived its lease"
    When the core's lease is renewed
    Then a request at the core is sent

  Scenario: Waiting requests start by priority, then by deadline
    # A month-end batch has filled the entry when a conflict check comes in. Behind the batch it would
    # be too late for the spot.
    Given a core whose limit lets one query run
    When queries wait there as "batch/900 normal/500 urgent/800 normal/300 urgent/600"
    Then the core starts them in the order "urgent/600 urgent/800 normal/300 normal/500 batch/900"

  Scenario: A full queue gives way to a more urgent request
    # The queue is full of batch work. The urgent request takes the place of the last one, which is
    # told at once that it did not run and when to come back.
    Given a core whose limit lets one query run and a queue of 3
    When queries wait there as "batch/900 batch/800 batch/850 urgent/600"
    Then the request "batch/900" is refused as overloaded with a time to come back

  Scenario: A full queue refuses what is not more urgent
    Given a core whose limit lets one query run and a queue of 3
    When queries wait there as "normal/900 normal/800 normal/850 normal/600"
    Then the request "normal/600" is refused as overloaded with a time to come back

  Scenario: A request that can no longer make its deadline is refused as soon as that is known
    # It waits for admission and the time that is left is shorter than any answer takes. Kept on, its
    # caller would learn of it only at the deadline; sent, servers would work for nothing.
    Given a core whose limit lets one query run
    When queries wait there as "normal/300"
    And the core's running query takes 400 ms
    Then the request "normal/300" is refused as overloaded with a time to come back
    And the core refused it before 300 ms had passed

  Scenario: A caller over its rate is told when to come back
    # One caller's month-end batch floods an entry. Others share the entry and must not wait for it.
    Given a core with a rule of 10 requests a second for each caller
    When caller "batch" sends 15 requests at once and caller "desk" sends 5
    Then 10 of caller "batch" and 5 of caller "desk" are sent
    And each refusal of the core says caller_limit with a time between 1 and 1000 ms
    When that time has passed in the core
    Then the next core request of caller "batch" is sent

  Scenario: A rule's share of the load is kept
    # A rule for routine lookups may hold a quarter of an upstream. Its flood must leave room.
    Given a core with a rule "log" that may hold 0.25 of the load beside others
    When 40 queries of kind "log" arrive there
    Then the open shards of rule "log" are at most 0.25 of the limit and one query more
    And a query of kind "route" is sent at once

  Scenario: Urgent requests start though lower classes have filled the limit
    # Overload by routine lookups. A conflict check that waited until enough of them had ended was
    # late by most of its time, though its few requests would hardly have burdened the servers.
    Given a core with a query under way
    When 40 queries of kind "log" arrive there
    Then some of the queries of kind "log" wait at the core
    And an urgent query of kind "conflict-check" is sent at once

  Scenario: Under overload lower classes wait at the entry and urgent requests pass them
    # Servers have one queue for all. Filled by lookups that the entry had let through, it made every
    # conflict check wait for some of its shards, and so the whole answer.
    Given a core with a query under way
    When answers report 12 waiting requests while urgent ones come
    And 5 queries of kind "log" and then an urgent one arrive there
    Then at most 1 shard request of kind "log" is out for each shard
    And every shard request of the urgent one is out
    When the servers answer all they get at the core for 3000 ms
    Then every query at the core has its answer

  Scenario: With nobody urgent about nobody is held back
    # A zone is lost and the servers left have all the work. They can do it, with queues for a while.
    # Held back for urgent requests that never come, queries would be refused in plenty.
    Given a core with a query under way
    When answers report 6 waiting requests for some time
    And 5 queries of kind "log" arrive there
    Then no shard request at the core waits for a server
    And the core's limit has risen above 3 shards

  Scenario: An entry that is short of processor time does not space out lower classes
    # Something else runs on its host, and each answer takes far longer until it is read. The servers
    # report that nobody waits. Taken for overload, lookups would go out one by one, with pauses, and
    # be refused for it, though the servers have room for all of them.
    Given a core with a query under way
    When answers report 0 waiting requests for some time
    And answers take 400 ms longer and report that nobody waits for some time
    And 5 queries of kind "log" and then an urgent one arrive there
    Then no shard request at the core waits for a server
    And the core's limit has risen above 3 shards

  Scenario: Canaries that are held back under overload hold the rest back as well
    # The entry holds lower classes back. A body that crashes servers must not get past its canaries
    # only because they wait longer than canaries usually take.
    Given a core with canaries and 20 shards
    When answers report 12 waiting requests while urgent ones come
    And 5 queries of kind "log" and then an urgent one arrive there
    And the servers answer nothing until one of kind "log" is sent
    Then of the 5 bodies no more than 2 shard requests each are out or wait for a server

  Scenario: The limit follows the queues at the servers
    # Twelve entries share the servers and none sees the others' traffic. Only the servers' reports
    # tell when all together send too much.
    Given a core with a query under way
    When answers report 6 waiting requests for some time
    Then the core's limit has fallen below 20 shards
    When answers report 0 waiting requests for some time
    Then the core's limit has risen above 20 shards

  Scenario: Servers are told of a deadline that leaves time for the way back
    Given a core with a query under way
    Then each shard request's deadline is before the query's

  Scenario: A caller that leaves the queue takes its request with it
    Given a core whose limit lets one query run
    When queries wait there as "normal/900"
    And the caller of "normal/900" leaves the queue
    And the core's running query takes 10 ms
    Then nothing of "normal/900" was ever sent
