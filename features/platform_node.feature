Feature: The node program on the users' platform

  Scenario: A tier starts, takes a configuration and serves
    # Four hosts start at once, three of them with an empty disk. Nobody tells them who the others
    # are but for three seeds.
    Given a platform tier of 3 hosts with a disk and 1 without, with servers of 3 shards
    When an operator sends a configuration
    Then every host of the platform tier becomes ready
    And each host names all 4 hosts to callers, and to those of a zone with two hosts only these
    And a query at each host gets the 4 greatest records of 3 shards with their seals
    And an order at each host gets one server's own bytes, and ran once
    And each host reads the configuration back as it was sent
    And a request for a path without a route gets 404

  Scenario: Changes are ordered by the operator's number alone
    # An acknowledgement is lost and the change comes again, an older one comes late, and another one
    # under the same number.
    Given a platform tier that serves
    Then the same configuration again, an older one, and another one of the same number are taken
    And each host reads the configuration back as it was sent
    And an invalid configuration of a higher number is refused with 400 and changes nothing

  Scenario: The leader is lost
    # The host that takes the changes is killed. Callers go on at the others, and so do operators.
    Given a platform tier that serves
    When the leading host of the platform tier is killed
    Then a query at each host that is left is answered at once
    And the operator's next configuration is accepted and served everywhere
    And no host that is left names the one that is gone

  Scenario: A disk is lost, and then another host
    # A host comes back at its old address with an empty disk. It must not vote as who it was; as a
    # new member it gets the log again, and then another host may be lost.
    Given a platform tier that serves
    When a host that does not lead loses its disk and starts again
    Then it becomes a voter of the log again
    When the leading host of the platform tier is killed
    Then the operator's next configuration is accepted and served everywhere

  Scenario: All hosts are killed while the seeds are hosts without a disk
    # The settings name other seeds by now, which know nobody after a restart.
    Given a platform tier that serves
    When the seeds become the host without a disk, and all hosts are killed and start again
    Then every host of the platform tier becomes ready
    And each host reads the configuration back as it was sent

  Scenario: The log has no majority after a restart of all hosts
    # Only one of three hosts with a disk comes back, so nobody leads and no change can be taken. The
    # servers are well, and the configuration that was in force is on its disk: callers are served
    # by it, where they were all refused.
    Given a platform tier that serves
    When all hosts are killed, and only the first one starts again
    Then a query at each host that is left is answered at once
    And it names itself to callers
    And a change and a read of the configuration are answered with 503

  Scenario: A host without a disk starts while the log has no majority
    # Two of three hosts with a disk don't come back after a restart of all. The third one serves by
    # what is on its disk; the host without one knew nothing, as only a leader told it, and refused
    # every request that it was sent.
    Given a platform tier that serves
    When all hosts are killed, and only the first one and the one without a disk start again
    Then a query at each host that is left is answered at once
    And a change and a read of the configuration are answered with 503

  Scenario: Hosts go while the log has no majority
    # The leader and another host with a disk are gone for good at the same moment, so nobody leads
    # any more, and it was always the leader that told the others who had gone. Callers were sent to
    # the dead hosts without end, and waited a second for each new connection there. In the record:
    # "12.000 s  frontend-waco-hall-1 goes off", "31.810 s  frontend-temple-hall-1 names it".
    Given a platform tier that serves
    When the leading host and another one with a disk are killed
    Then no host that is left names those that are gone
    And each host that is left names all that are left

  Scenario: The disk hangs while a host starts
    # Its kept beliefs can't be read for seconds. The host starts without them; if it waited, its
    # callers would find nobody although it could serve as soon as it hears the leader.
    Given kept beliefs on a disk that answers after 5 s
    When a host restores its beliefs
    Then it goes on without them before the disk has answered

  Scenario Outline: What a host kept of its beliefs can't be read
    # The disk has spoilt the file. The host starts without it, as one that is new.
    Given a platform tier that serves
    When all hosts are killed, the kept beliefs of each become <bytes>, and all start again
    Then every host of the platform tier becomes ready
    And each host reads the configuration back as it was sent

    Examples:
      | bytes          |
      | empty          |
      | nonsense       |
      | half of them   |

  Scenario: A planned stop cuts nothing off
    Given a platform tier that serves
    When a host is told to stop while an order runs on it
    Then the order is answered in full, and the connection is closed with it
    And the host is not ready any more and is not named to callers
    And it ends by itself with code 0 within its time

  Scenario: Settings change while the host runs
    # A SIGHUP would end a program that does not expect it.
    Given a platform tier that serves
    When the settings of a host are changed to nonsense and it gets SIGHUP
    Then it serves on and says that it refused the settings

  Scenario: SIGHUP comes while the program is still being loaded
    # The platform changes the settings of a host that it has just started. A process that handles
    # the signal only once it serves would end, and its callers find nobody.
    When the node program gets SIGHUP as it loads its first library
    Then it goes on, and ends by what its settings say

  Scenario: A caller leaves
    # Its order takes long, and it closes the connection. Nobody needs the answer any more.
    Given a platform tier that serves
    When a caller leaves 0.3 s after it has asked for an order that takes 5 s
    Then the server's work on it is cancelled within 0.5 s

  Scenario Outline: Bytes that are no request end no process
    Given a platform tier that serves
    When <bytes> are sent to the callers' port of a host
    Then it answers with <status> and serves on

    Examples:
      | bytes                   | status |
      | a line of nonsense      | 400    |
      | two different lengths   | 400    |
      | a head of 40 KiB        | 413    |
      | a time left of "soon"   | 400    |

  Scenario: The metrics of a host tell what it did
    Given a platform tier that serves
    When a query and an order were answered by a host
    Then its metrics page counts them by route, with its servers, hosts and configuration
    And its metrics page tells how long syncs and elections of the replicated log took

  Scenario: A zone is evacuated and used again
    # An operator moves a zone's servers away from all traffic. Its order holds at each host, also
    # after the loss of all processes, and for a host that starts later.
    Given a platform tier that serves
    When the zone "austin-hall" is evacuated by each host in turn
    Then the operator is told that "waco-hall temple-hall" are left
    And no host sends anything to servers in "austin-hall"
    When all hosts are killed and start again
    And every host of the platform tier becomes ready
    Then no host sends anything to servers in "austin-hall"
    When the zone "austin-hall" is used again by each host in turn
    Then servers in "austin-hall" get requests again

  Scenario: All zones are evacuated
    # Nobody is left to ask: callers hear at once that nothing ran, and when to come back.
    Given a platform tier that serves
    When the zones "austin-hall waco-hall temple-hall" are evacuated
    Then the operator is told that "" are left
    And each host refuses queries and orders as not run, with a time to come back

  Scenario Outline: An order about a zone that can't be taken
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
    # One host alone works through fifty parts one after the other while the others have nothing to
    # do; the answer is the same whoever asks for which part.
    Given a platform tier that serves 50 shards
    Then a query at each host gets the greatest records of all 50 shards with their seals
    And each server was queried at most once for it
    And more than one host queried the servers

  Scenario: A host that gathers for others is lost
    # Its share is asked for again by the host that has the caller.
    Given a platform tier that serves 50 shards
    When a host is suspended, and then killed, while another host receives queries
    Then every query was answered completely, or omitted parts only while the host was suspended
