Feature: The node program on the platform

  Scenario: A tier starts, accepts a configuration and serves
    # Four hosts start at once, three of them with an empty disk. They know only three seeds.
    Given a platform tier of 3 hosts with a disk and 1 without, with servers of 3 shards
    When an operator sends a configuration
    Then every host of the platform tier becomes ready
    And each host advertises all 4 hosts to callers, and only the two hosts of a zone to its callers
    And a query at each host gets the 4 greatest records of 3 shards with their seals
    And an order at each host gets one server's own bytes, and ran once
    And each host reads the configuration back as it was sent
    And a request for a path without a route gets 404

  Scenario: Changes are ordered only by the operator's version
    # An acknowledgement is lost and the change is sent again, an older change arrives late, and
    # another change has the same version.
    Given a platform tier that serves
    Then the same configuration again, an older one, and another one of the same version are accepted
    And each host reads the configuration back as it was sent
    And an invalid configuration of a higher version is refused with 400 and changes nothing

  Scenario: The leader is lost
    # The host that accepts changes is killed. Callers and operators continue at the other hosts.
    Given a platform tier that serves
    When the leading host of the platform tier is killed
    Then a query at each remaining host is answered at once
    And the operator's next configuration is accepted and served everywhere
    And no remaining host advertises the lost one

  Scenario: A disk is lost, and then another host
    # A host returns at its old address with an empty disk. It must not vote with its old member ID.
    # It receives the log as a new member, and then another host may be lost.
    Given a platform tier that serves
    When a host that does not lead loses its disk and starts again
    Then it becomes a voter of the log again
    When the leading host of the platform tier is killed
    Then the operator's next configuration is accepted and served everywhere

  Scenario: All hosts are killed while the seeds are hosts without a disk
    # The settings have been changed to other seeds, which know no hosts after a restart.
    Given a platform tier that serves
    When the seeds become the host without a disk, and all hosts are killed and start again
    Then every host of the platform tier becomes ready
    And each host reads the configuration back as it was sent

  Scenario: The log has no majority after a restart of all hosts
    # Only one of three hosts with a disk returns, so there is no leader and no change can be
    # accepted. The servers are up, and the configuration that was in force is in the host's
    # checkpoint. Guards against refusing all callers in this state.
    Given a platform tier that serves
    When all hosts are killed, and only the first one starts again
    Then a query at each remaining host is answered at once
    And it advertises itself to callers
    And a change and a read of the configuration are answered with 503

  Scenario: A host without a disk starts while the log has no majority
    # Two of three hosts with a disk don't return after a restart of all hosts. The third one serves
    # from its checkpoint. Guards against a host without a disk that refuses every request because
    # it gets its state only from a leader.
    Given a platform tier that serves
    When all hosts are killed, and only the first one and the one without a disk start again
    Then a query at each remaining host is answered at once
    And a change and a read of the configuration are answered with 503

  Scenario: Hosts are lost while the log has no majority
    # The leader and another host with a disk are lost for good at the same moment, so there is no
    # leader to report lost hosts. Guards against callers that are sent to the lost hosts for good,
    # and wait a second for each new connection there. In a log of this fault frontend-waco-hall-1
    # is lost at 12.000 s, and frontend-temple-hall-1 still advertises it at 31.810 s.
    Given a platform tier that serves
    When the leading host and another one with a disk are killed
    Then no remaining host advertises the lost ones
    And each remaining host advertises all remaining hosts

  Scenario: The disk hangs while a host starts
    # The checkpoint can't be read for seconds. The host starts without it. If it waited, it would
    # accept no callers although it could serve as soon as it finds the leader.
    Given a checkpoint on a disk that answers after 5 s
    When a host starts, and goes on
    Then it continues without the checkpoint before the disk has answered

  Scenario Outline: The disk answers when a host has started, and <what> until then
    # Guards against a host that has given up on its checkpoint: while the log has no majority it has
    # nothing else to serve by, and would refuse all callers for good.
    Given the checkpoint of a host, of version 3 and with a quarantined request
    When it starts, <what>, and then its disk answers
    Then it refuses the quarantined request, uses version <version> and the hosts of the <whose>
    And it has written no checkpoint before

    Examples:
      | what                        | version | whose      |
      | nothing is heard            | 3       | checkpoint |
      | a leader sends what's newer | 4       | leader     |

  Scenario Outline: The checkpoint of a host can't be read
    # The disk has corrupted the file. The host starts without it, like a new host.
    Given a platform tier that serves
    When all hosts are killed, the checkpoint of each becomes <bytes>, and all start again
    Then every host of the platform tier becomes ready
    And each host reads the configuration back as it was sent

    Examples:
      | bytes          |
      | empty          |
      | invalid bytes  |
      | its first half |

  Scenario: A planned stop interrupts no request
    Given a platform tier that serves
    When a host is told to stop while an order runs on it
    Then the order is answered in full, and the connection is closed with it
    And the host is no longer ready and is not advertised to callers
    And it exits with code 0 within its time limit

  Scenario: A request arrives that would outlast a planned stop
    # Guards against a request that is passed on to a server and then cut off when the host ends: its
    # caller can't know whether it has run.
    Given a platform tier that serves
    And orders take 1 s, as the host that is to stop has seen
    When that host is told to stop, and an order arrives 1.85 s later
    Then that order is refused as not run, or not read at all, and ran nowhere

  Scenario: Settings change while the host runs
    # By default SIGHUP ends a process.
    Given a platform tier that serves
    When the settings of a host are changed to invalid values and it receives SIGHUP
    Then it keeps serving and logs that it refused the settings

  Scenario: SIGHUP arrives while the program is still being loaded
    # The platform changes the settings of a host that it has just started. A process that handles
    # the signal only once it serves would end, and its callers could not connect.
    When the node program receives SIGHUP while it loads its first library
    Then it continues, and exits as its settings can't be read

  Scenario: A caller disconnects
    # Its order takes long, and it closes the connection. The answer is no longer needed.
    Given a platform tier that serves
    When a caller disconnects 0.3 s after it has sent an order that takes 5 s
    Then the server's work on it is cancelled within 0.5 s

  Scenario Outline: Malformed requests do not end the process
    Given a platform tier that serves
    When <bytes> are sent to the callers' port of a host
    Then it answers with <status> and keeps serving

    Examples:
      | bytes                   | status |
      | a malformed line        | 400    |
      | two different lengths   | 400    |
      | a head of 40 KiB        | 413    |
      | a time left of "soon"   | 400    |

  Scenario: The metrics of a host count its requests
    Given a platform tier that serves
    When a query and an order were answered by a host
    Then its metrics page counts them by route, with its servers, hosts and configuration
    And its metrics page reports how long syncs and elections of the replicated log took

  Scenario: A zone is evacuated and used again
    # An operator stops all requests to a zone's servers. The directive applies at each host, also
    # after a restart of all processes, and at hosts that start later.
    Given a platform tier that serves
    When the zone "austin-hall" is evacuated by each host in turn
    Then the answer to the operator lists "waco-hall temple-hall" as left
    And no host sends anything to servers in "austin-hall"
    When all hosts are killed and start again
    And every host of the platform tier becomes ready
    Then no host sends anything to servers in "austin-hall"
    When the zone "austin-hall" is used again by each host in turn
    Then servers in "austin-hall" get requests again

  Scenario: All zones are evacuated
    # No servers are left. Callers learn at once that nothing ran, and when to retry.
    Given a platform tier that serves
    When the zones "austin-hall waco-hall temple-hall" are evacuated
    Then the answer to the operator lists "" as left
    And each host refuses queries and orders as not run, with a Retry-After header

  Scenario Outline: A directive for a zone that can't be accepted
    Given a platform tier that serves
    When an operator sends <method> for the zone <zone> with <body>
    Then it is answered with <status>, naming "<field>", and no zone is evacuated

    Examples:
      | method | zone        | body    | status | field |
      | POST   | nowhere     | no body | 404    | zone  |
      | DELETE | nowhere     | no body | 404    | zone  |
      | POST   | austin-hall | a body  | 400    | body  |
      | PUT    | austin-hall | no body | 404    |       |

  Scenario: Hosts gather many shards together
    # A single host would process fifty parts one after the other while the other hosts are idle.
    # The answer is the same whichever host queries which part.
    Given a platform tier that serves 50 shards
    Then a query at each host gets the greatest records of all 50 shards with their seals
    And each server was queried at most once for it
    And more than one host queried the servers

  Scenario: A host that gathers for others is lost
    # Its share is queried again by the host that serves the caller.
    Given a platform tier that serves 50 shards
    When a host is suspended, and then killed, while another host receives queries
    Then every query was answered completely, or omitted parts only while the host was suspended

  Scenario: The steps of a start after all hosts were killed
    # Guards against a slow restart of which nobody can tell what took long.
    Given a platform tier that serves
    When all hosts are killed once those with a disk have a checkpoint, and start again
    Then every host of the platform tier becomes ready
    And a query at each remaining host is answered at once
    And each host has logged the steps of its start, those with a disk from their checkpoint on
