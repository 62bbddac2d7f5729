Feature: Gathers that are split among several hosts

  Scenario Outline: Which gathers are split, and among which hosts
    # A host that processes a hundred parts alone is late; few parts are not worth a round trip.
    Given <hosts> strong and <weak> weak active hosts
    When a gather of <parts> parts arrives at <first>
    Then it is divided among <asked> hosts, and each part is queried once

    Examples:
      | hosts | weak | parts | first         | asked |
      | 6     | 0    | 90    | a strong host | 6     |
      | 6     | 4    | 90    | a strong host | 6     |
      | 6     | 4    | 90    | a weak host   | 6     |
      | 3     | 0    | 135   | a strong host | 3     |
      | 2     | 0    | 135   | a strong host | 1     |
      | 6     | 0    | 30    | a strong host | 1     |

  Scenario: Every host computes the same owner of a shard
    # Otherwise two hosts would both act as the owner of a server while it is cold.
    Given 6 strong and 3 weak active hosts
    Then all hosts compute the same owner for each of 90 shards, in any order of the hosts
    And each strong host owns 15 of them
    When one of the strong hosts leaves
    Then all hosts compute the same owner for each of 90 shards, in any order of the hosts
    And at least 60 of them have the same owner as before

  Scenario: A host that failed recently gets no share
    Given 6 strong and 0 weak active hosts
    When 2 of the others failed recently, and a gather of 90 parts arrives at a strong host
    Then it is divided among 4 hosts, and each part is queried once

  Scenario Outline: Outcomes of a gather when another host does not return its share
    # Three hosts share 9 parts, and the first one received the caller's request; an answer needs 8
    # parts. It is due after 100 ms, and the caller stops waiting after 1000 ms.
    Given a gather of 9 parts over 3 hosts
    When the second host <behavior>
    And this host <here> what it then queries itself
    Then it ends as <outcome> at <at> ms, and this host has queried <asked> parts of the other one

    Examples:
      | behavior                                 | here       | outcome | at   | asked |
      | returns all at once                      | gets       | 9 of 9  | 10   | 0     |
      | returns 2 at once and 1 at 60 ms         | gets       | 9 of 9  | 60   | 0     |
      | returns 2 at once and 1 at 300 ms        | gets       | 8 of 9  | 100  | 0     |
      | returns 1 at once and 2 at 300 ms        | gets       | 9 of 9  | 300  | 0     |
      | returns 2 at once and ends               | gets       | 8 of 9  | 10   | 0     |
      | returns 1 at once and ends               | gets       | failed  | 10   | 0     |
      | is lost at once                          | gets       | 9 of 9  | 15   | 3     |
      | is lost at 30 ms with 1 returned         | gets       | 9 of 9  | 35   | 2     |
      | is lost with 1 that others may not query | gets       | 8 of 9  | 15   | 2     |
      | refuses at once                          | gets       | 9 of 9  | 15   | 3     |
      | is silent                                | gets       | 9 of 9  | 65   | 3     |
      | is silent                                | never gets | timeout | 1000 | 3     |
      | returns parts of others                  | gets       | 9 of 9  | 15   | 3     |
      | returns a part twice                     | gets       | 9 of 9  | 15   | 2     |
      | is silent and returns all late           | gets       | 9 of 9  | 65   | 3     |
      | is silent and returns all at 50 ms       | gets       | 9 of 9  | 50   | 0     |
      | is silent and returns all late           | never gets | 9 of 9  | 70   | 3     |
      | is silent and returns all late           | gives up   | 9 of 9  | 70   | 3     |
      | is silent                                | gives up   | timeout | 1000 | 3     |
      | is silent and is lost                    | gives up   | failed  | 71   | 6     |

  Scenario Outline: A gather that can't succeed is not split
    # Once many hosts have queried servers, nobody can say that nothing ran; a single host can, at
    # once.
    Given a host among 6 with 90 shards of which <gone> have no server left
    Then it <does> a gather that needs 86 of them

    Examples:
      | gone | does           |
      | 0    | splits         |
      | 4    | splits         |
      | 5    | does not split |

  Scenario: Any order of events
    # Parts, ends and losses of hosts arrive in any order. No part is ever in an answer twice, an
    # answer has the minimum coverage, and a gather ends by its deadline.
    Then gathers of any hosts and any order of 300 events satisfy these rules

  Scenario: Hosts that query the same shard use the same servers
    # One host is lost, and another one repeats its query: together they must not use more servers
    # than the route allows. Servers near the owner are preferred.
    Given 3 servers in 3 zones of each of 40 shards, listed in any order
    Then hosts agree on 2 servers of each, one of them in the zone of the owner
    And with 2 servers of each shard left, or one of 3 leaving, they need not agree

  Scenario Outline: Which servers a share uses
    # The agreed servers are preferred. Other servers are used rather than none, but only once the
    # first host knows of the share: before that it may query the same shards, and together they
    # would use three servers.
    Given a share of a shard with 3 servers, of which "a" and "b" are agreed on
    When of its servers <which> are <how>
    Then a share that is <known> is sent to "<first>" first, and <may> be queried by another host

    Examples:
      | which   | how     | known                   | first  | may     |
      | none    | ejected | known to the first host | a or b | may     |
      | a       | ejected | known to the first host | b      | may     |
      | a and b | ejected | known to the first host | c      | may not |
      | a and b | ejected | unknown to it           | a or b | may     |
      | a and b | leaving | known to the first host | c      | may not |
      | a and b | leaving | unknown to it           | none   | may     |

  Scenario Outline: An invalid request for a share is refused before anything runs
    Then a request for a share with <mistake> is refused naming "<field>"

    Examples:
      | mistake                         | field     |
      | no time left                    | time_left |
      | a time that is not a number     | time_left |
      | a due time that is not a number | due_in    |
      | no shard                        | shards    |
      | a shard twice                   | shards    |
      | a shard of no route             | shards    |
      | more shards than the route      | shards    |

  Scenario Outline: Parts that don't match the request are not merged
    Then an answer with <mistake> is refused naming "<field>"

    Examples:
      | mistake                      | field      |
      | an index beyond the request  | shards     |
      | a negative index             | shards     |
      | a spent index beyond it      | spent      |
      | fewer signatures than parts  | signatures |
      | an empty signature           | signatures |
      | a truncated record           | records    |
      | more records than are wanted | records    |

  Scenario: The records of merged parts are those of all parts
    # When two hosts merge one after the other, equal records must all count, and none may be lost.
    Then merging any parts in any bundles gives the greatest records of all

  Scenario: No more queries are sent once a gather is over
    # The host that returns the last part may be lost at the same moment. Shards queried then would
    # run on a third server after the caller has its answer.
    Given a gather of 9 parts over 3 hosts
    When a host that returned 2 of its 3 parts is lost after the answer is due
    Then the gather ends, and no host is asked for the third part
