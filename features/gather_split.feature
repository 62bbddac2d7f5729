Feature: Gathers that several hosts ask for together

  Scenario Outline: Which gathers are split, and among whom
    # A host that works through a hundred parts alone is late; a few parts are not worth the way.
    Given <hosts> strong and <weak> weak hosts that callers are sent to
    When a gather of <parts> parts comes to <first>
    Then it is divided among <asked> hosts, and each part is asked for once

    Examples:
      | hosts | weak | parts | first         | asked |
      | 6     | 0    | 90    | a strong host | 6     |
      | 6     | 4    | 90    | a strong host | 6     |
      | 6     | 4    | 90    | a weak host   | 6     |
      | 3     | 0    | 135   | a strong host | 3     |
      | 2     | 0    | 135   | a strong host | 1     |
      | 6     | 0    | 30    | a strong host | 1     |

  Scenario: Every host knows the same owner of a shard
    # Otherwise two hosts would both take a server for theirs while it is cold.
    Given 6 strong and 3 weak hosts that callers are sent to
    Then all hosts name the same owner for each of 90 shards, whatever order they know each other in
    And each strong host owns 15 of them
    When one of the strong hosts goes
    Then all hosts name the same owner for each of 90 shards, whatever order they know each other in
    And at least 60 of them have the same owner as before

  Scenario: A host that did not take its share lately is left out
    Given 6 strong and 0 weak hosts that callers are sent to
    When 2 of the others were lost lately, and a gather of 90 parts comes to a strong host
    Then it is divided among 4 hosts, and each part is asked for once

  Scenario Outline: What becomes of a gather when another host does not bring its share
    # Three hosts share 9 parts, the first one has the caller; an answer needs 8 of them. It is due
    # after 100 ms, and the caller leaves after 1000 ms.
    Given a gather of 9 parts over 3 hosts
    When the second host <trouble>
    And this host <here> what it then asks for itself
    Then it ends as <outcome> at <at> ms, and this host has asked for <asked> parts of the other one

    Examples:
      | trouble                          | here             | outcome      | at   | asked |
      | brings all at once               | gets             | 9 of 9       | 10   | 0     |
      | brings 2 at once and 1 at 60 ms  | gets             | 9 of 9       | 60   | 0     |
      | brings 2 at once and 1 at 300 ms | gets             | 8 of 9       | 100  | 0     |
      | brings 1 at once and 2 at 300 ms | gets             | 9 of 9       | 300  | 0     |
      | brings 2 at once and ends        | gets             | 8 of 9       | 10   | 0     |
      | brings 1 at once and ends        | gets             | failed       | 10   | 0     |
      | is lost at once                  | gets             | 9 of 9       | 15   | 3     |
      | is lost at 30 ms with 1 brought  | gets             | 9 of 9       | 35   | 2     |
      | is lost with 1 that none may ask | gets             | 8 of 9       | 15   | 2     |
      | refuses at once                  | gets             | 9 of 9       | 15   | 3     |
      | says nothing                     | gets             | 9 of 9       | 65   | 3     |
      | says nothing                     | never gets       | timeout      | 1000 | 3     |
      | brings parts of others           | gets             | 9 of 9       | 15   | 3     |
      | brings a part twice              | gets             | 9 of 9       | 15   | 2     |
      | says nothing and brings all late | gets             | 9 of 9       | 65   | 3     |
      | says nothing and brings all at 50 ms | gets         | 9 of 9       | 50   | 0     |
      | says nothing and brings all late | never gets       | 9 of 9       | 70   | 3     |
      | says nothing and brings all late | gives up         | 9 of 9       | 70   | 3     |
      | says nothing                     | gives up         | timeout      | 1000 | 3     |
      | says nothing and is lost         | gives up         | failed       | 71   | 6     |

  Scenario Outline: A gather that can't be had isn't begun
    # Asked for by many hosts, nobody could say that nothing ran; one host alone can, at once.
    Given a host among 6 before 90 shards of which <gone> have no server left
    Then it <does> a gather that needs 86 of them

    Examples:
      | gone | does                |
      | 0    | splits              |
      | 4    | splits              |
      | 5    | refuses by itself   |

  Scenario: Any order of events
    # Parts, ends and losses of hosts come in any order. No part is ever in an answer twice, an answer
    # has the least coverage, and a gather ends by its deadline.
    Then gathers of any hosts and any order of 300 events keep these promises

  Scenario: Hosts that ask for the same shard ask the same servers
    # One host is lost, and another one asks again: together they must not ask more servers than the
    # route allows. Near ones to the owner are among them.
    Given 3 servers in 3 zones of each of 40 shards, known in any order
    Then hosts agree on 2 servers of each, one of them in the zone of the owner
    And with 2 servers of each shard left, or one of 3 leaving, they need not agree

  Scenario Outline: Which servers a share is asked for at
    # Those agreed on go first. A part is better had than agreed on, but only once the first host has
    # heard of the share: it may ask for the same shards before, and together they would ask three.
    Given a share of a shard with 3 servers, of which "a" and "b" are agreed on
    When of its servers <out> are <how>
    Then a share that is <heard> asks "<first>" first, and <may> be asked for by another host

    Examples:
      | out     | how          | heard    | first  | may     |
      | none    | out of order | heard of | a or b | may     |
      | a       | out of order | heard of | b      | may     |
      | a and b | out of order | heard of | c      | may not |
      | a and b | out of order | unheard  | a or b | may     |
      | a and b | leaving      | heard of | c      | may not |
      | a and b | leaving      | unheard  | none   | may     |

  Scenario Outline: A share that makes no sense is refused before anything runs
    Then a request for a share with <mistake> is refused naming "<field>"

    Examples:
      | mistake                     | field     |
      | no time left                | time_left |
      | a time that is no number    | time_left |
      | a due time that is no number | due_in   |
      | no shard                    | shards    |
      | a shard twice               | shards    |
      | a shard of no route         | shards    |
      | more shards than the route  | shards    |

  Scenario Outline: Parts that don't fit what was asked for are not merged
    Then an answer with <mistake> is refused naming "<field>"

    Examples:
      | mistake                      | field      |
      | a place beyond the request   | shards     |
      | a place below zero           | shards     |
      | a spent place beyond it      | spent      |
      | fewer signatures than parts  | signatures |
      | an empty signature           | signatures |
      | a record that is cut         | records    |
      | more records than are wanted | records    |

  Scenario: Records of merged parts are those of all parts
    # Merged at two hosts one after the other, equal records must all count, and none be lost.
    Then merging any parts in any bundles gives the greatest records of all

  Scenario: Nothing more is asked for once a gather is over
    # The host that brings the last part may be lost at the same moment. What was asked for then would
    # run on a third server after the caller has its answer.
    Given a gather of 9 parts over 3 hosts
    When a host that brought 2 of its 3 parts is lost after the answer is due
    Then the gather ends, and nobody is asked for the third part
