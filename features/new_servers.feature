Feature: Servers that have never answered take little from those that have

  Scenario Outline: <count> new entries at addresses that <kind>, for <requests> requests
    # Guards against a list of hundreds of entries at which there is no server: they look idle, so
    # requests that proven servers could serve would go there, and fail or be late.
    Given an upstream whose 4 servers have answered
    And <count> new entries of it at addresses that <kind>
    When 1000 <requests> requests arrive within 10 s
    Then at least <served> of them are served, and at most 20 were sent to the new entries

    Examples:
      | count | kind                | requests   | served |
      | 300   | refuse connections  | repeatable | 1000   |
      | 3000  | refuse connections  | repeatable | 1000   |
      | 300   | never answer        | repeatable | 1000   |
      | 300   | fail each request   | repeatable | 1000   |
      | 300   | refuse connections  | unsafe     | 1000   |
      | 300   | never answer        | unsafe     | 1000   |

  Scenario: New sound servers
    # Guards against servers that stay cold because nothing was known of them.
    Given an upstream whose 4 servers have answered
    And 8 new entries of it at addresses that answer
    When 1000 repeatable requests arrive within 10 s
    Then at least 1000 of them are served, and each new server has answered within 2 s

  Scenario: New sound servers of an upstream that serves unsafe requests alone
    # Guards against proven servers that are full beside new ones that no request may try, as it
    # could be lost there.
    Given an upstream whose 4 servers have answered
    And 4 new entries of it at addresses that answer
    When 3000 unsafe requests arrive within 5 s
    Then at least 3000 of them are served, and each new server has answered within 2 s
    And no server was full while another one was free

  Scenario: A host that has just started
    # Guards against a host that serves nobody until it has tried hundreds of entries.
    Given an upstream of which nothing has answered: 4 servers, and 300 that refused a connection
    When 1000 repeatable requests arrive within 10 s
    Then at least 1000 of them are served, and at most 0 were sent to the new entries
    And a request looks at 4 servers

  Scenario: A hundred proven servers crash at once
    # Guards against requests that go to them because only half of an upstream may be ejected.
    Given an upstream whose 104 servers have answered
    And 100 of them refuse connections from now on
    When 1000 repeatable requests arrive within 10 s
    Then at least 1000 of them are served, and at most 0 were sent to the crashed ones

  Scenario Outline: All proven servers are replaced, for <requests> requests
    # Guards against the last one, ejected by now, being preferred to its sound successors.
    Given an upstream whose 2 servers have answered
    And 2 of them refuse connections from now on
    And 2 new entries of it at addresses that answer
    When 200 <requests> requests arrive within 2 s
    Then at least 200 of them are served, and each new server has answered within 2 s
    And none of them was sent to a server that had refused a connection

    Examples:
      | requests   |
      | repeatable |
      | unsafe     |

  Scenario: Most servers of an upstream are new and fail
    # Guards against those being tried again before others, as at most half may be ejected.
    Given an upstream whose 4 servers have answered
    And 12 new entries of it at addresses that fail each request
    When each new server has failed twice
    Then all of them are avoided, and the proven ones aren't

  Scenario: Connections of a host's pool
    # Guards against a host whose choice of servers doesn't know that they refuse connections.
    Given a host of the platform with a listed server
    When its pool can't connect to that server
    Then the server is the host's last resort, until a connection to it is open

  Scenario: Connections to a server that never accepted one
    # Guards against such a server being connected to ahead of requests as often as one that crashed,
    # and against requests that have to wait as long.
    Given a listed server that has refused three connections
    Then none is opened ahead of requests for 800 ms more, and one for a request after 200 ms

  Scenario: More connections than a host should hold to servers that nobody has used
    # Guards against a host that runs out of file descriptors, so that it accepts no callers, since
    # the list names thousands of addresses that accept connections.
    Given a pool that may keep 40 unused connections, and 60 addresses that accept them
    When it has opened as many as it opens ahead of requests
    Then it has 40 connections, and a request still gets one to any of the addresses

  Scenario: Listed addresses that don't respond to connections
    # Guards against requests that wait for seconds behind connections that nobody waits for.
    Given a pool whose connections that nobody waits for are all being opened
    When a request waits for a connection to another server
    Then that one is opened at once

  Scenario Outline: The list of real hosts also names <count> entries at <where>
    # Guards against the same from the list on: hosts connect to each entry, learn that nothing is
    # there, and serve their callers by the servers that are.
    Given a platform tier of 3 hosts whose servers have answered
    When its list also names <count> entries at <where>, and 120 requests arrive
    Then each of them is answered in full

    Examples:
      | count | where                                |
      | 300   | addresses that refuse connections    |
      | 300   | an address that accepts them, silent |
      | 30    | the hosts' own ports for callers     |
      | 30    | the port of the list                 |

  Scenario: Addresses that refuse every connection
    # Guards against a host that does little but open connections, as thousands are listed.
    Given a pool that keeps connections to 400 listed addresses that refuse them
    When 20 s pass, in which requests try to get a connection to one of them
    Then each was tried, and not more than 50 connections a second were tried again
    And the pool looks at each of them at one time only

  Scenario: A server that begins to accept connections late, among such addresses
    # Guards against a sound server that is forgotten among them.
    Given a pool that keeps connections to 400 listed addresses that refuse them
    When one of them accepts connections from 5 s on
    Then the pool has a connection to it within 20 s more
