Feature: Gathers that crash the servers of all shards

  Scenario Outline: A gather that crashes its servers takes the index from nobody
    # A caller sends a gather that crashes each server which runs it, once a second, to one host
    # after another. Each wave takes a server of every shard, and harmless gathers get no answers.
    Given 4 hosts before 16 shards of 2 servers that a certain gather crashes
    When that gather is sent each second for 22 s among harmless ones, and <event>
    Then at most 40 servers have crashed, and the gather reached at most 3 servers late
    And over 0.95 of the harmless gathers of the last 6 s are served

    Examples:
      | event                             |
      | nothing else happens              |
      | the leader is killed at 8 s       |
      | all hosts are restarted at 8 s    |
      | all hosts are restarted at 0.3 s  |

  Scenario Outline: Gathers that crash servers in other ways are refused as well
    # Guards against a gather that is not recognised because its servers end late, because other
    # shards answer it, or because a host slept while the others learned of it.
    Given 4 hosts before 16 shards of 2 servers that a certain gather crashes
    And that gather crashes <servers>
    When that gather is sent each second for 18 s among harmless ones, and <event>
    Then at most 40 servers have crashed, and the gather reached at most 3 servers late
    And over 0.95 of the harmless gathers of the last 6 s are served

    Examples:
      | servers                                 | event                               |
      | every server after 1 s                  | nothing else happens                |
      | only the servers of one shard           | nothing else happens                |
      | every server after 50 ms                | a host is paused from 0.2 s to 7 s  |
      | every server after 50 ms                | one is paused to 7 s, a caller waits there |

  Scenario Outline: Several gathers that crash their servers come at once
    # Each server that ends was running more than one of them, so what one does is hidden by the
    # others. Guards against some that are never found, and take the index from everybody.
    Given 4 hosts before 16 shards of 2 servers that each of <gathers> gathers crashes
    When each of them is sent each second for 30 s among harmless ones, and nothing else happens
    Then each has crashed at most 40 servers, and reached at most 3 servers late
    And over 0.95 of the harmless gathers of the last 6 s are served

    Examples:
      | gathers |
      | 3       |
      | 8       |

  Scenario: Gathers on the servers of a lost zone are not refused as crashing
    # All servers of a zone end at the same moment, and no request has caused it.
    Given 4 hosts before 16 shards of 2 servers that a certain gather crashes
    When the servers of a zone end 3 s after harmless gathers began, which go on for 8 s
    Then no harmless gather is refused as crashing
    And over 0.95 of the harmless gathers of the last 6 s are served

  Scenario: Harmless gathers are not refused because a zone is lost
    # Servers of one zone of three end at the same moment, and no request has caused it. Guards
    # against a gather that is refused, or fails, because it was lost on several of them.
    Given a model of 5 hosts before 20 shards
    When the servers of a zone end at 3 s, with gathers at each 25 ms to 4 s
    Then over 0.99 of the gathers are answered, and each was answered as soon as 60 ms after others

  Scenario: A suspect whose trial gets no response goes on at another server
    # The servers of a zone don't respond. Guards against a harmless gather that waits there for its
    # trial until its caller leaves.
    Given a model of 5 hosts before 20 shards
    When the servers of a zone fall silent, and a suspect is sent to a host in that zone
    Then it is answered within 500 ms

  Scenario: A suspect that another host has seen answered is none any more
    Given a model of 5 hosts before 20 shards
    When a suspect of all hosts is sent to one of them
    Then no host suspects it 300 ms later

  Scenario: Hosts, leaders and servers that fail in any order don't hide a crashing gather
    # Zones and single servers end, hosts are cut off and restarted, leaders change, and the gathers
    # that crash servers come at any time. Guards against one that goes on, and against a harmless
    # one that is refused.
    Then any 30 s of a model of 4 hosts before 12 shards satisfy these rules
      """
      a gather that crashes its servers reaches at most 3 of them late
      no harmless gather is refused
      """

  Scenario Outline: Several crashing gathers that come at the same moments hide each other
    # Each second all of them arrive at the same host, so their trials end together. Guards against
    # trials that prove nothing for good, and against a harmless gather that is refused.
    Given <gathers> gathers that each come once a second, to the same host as the others, seed <seed>
    Then the model satisfies the same rules for each of them

    Examples:
      | gathers | seed |
      | 3       | 1    |
      | 5       | 0    |
      | 8       | 0    |
      | 8       | 3    |

  Scenario: Several crashing gathers come at the same moments beside slow harmless ones
    # Harmless gathers run on the servers for so long that some are lost with each trial's server.
    # Guards against trials that prove nothing because of these.
    Given 8 gathers among those of 300 ms that each come once a second, to the same host, seed 0
    Then the model satisfies the same rules for each of them

  Scenario Outline: Several crashing gathers that come at any moment
    # They come to one host or another. Guards against trials that prove nothing for good, and against
    # a harmless gather that is refused.
    Given <gathers> gathers that each come once a second, to any host, seed <seed>
    Then the model satisfies the same rules for each of them

    Examples:
      | gathers | seed |
      | 3       | 1    |
      | 5       | 6    |
      | 8       | 0    |

  Scenario: One of eight crashing gathers ends only servers that are blamed on others, too
    # Guards against a gather whose trials are shared with another one's again and again.
    Given 8 gathers that each come once a second, to any host, seed 6
    Then the model satisfies the same rules for each of them

  Scenario: A gather that many callers send runs beside two crashing ones
    # A trial of a crashing gather at another host ends the server of its own trial. Guards against
    # a harmless gather that is refused for ten minutes, to all its callers.
    Given a harmless gather each 25 ms and 2 crashing ones each 700 ms before 4 shards, seed 1
    Then no host refuses the harmless gather

  Scenario Outline: Schedules of failures that once hid a crashing gather, or had a harmless one refused
    Then the model's schedule of seed <seed> satisfies the same rules

    Examples:
      | seed | fault found                                                             |
      | 70   | two suspects had their trials on one server                             |
      | 105  | the trial of a harmless gather ended with a zone                        |
      | 589  | a run that was held went on as its request was no suspect but quarantined |

  Scenario Outline: Schedules in which a harmless gather of 300 ms was once refused
    # Harmless gathers run on the servers for so long that each that ends takes some of them along.
    Then the model's schedule of seed <seed>, with gathers of 300 ms, satisfies the same rules

    Examples:
      | seed | fault found                                                    |
      | 4    | a trial that was shared with others was not told to the leader |
      | 12   | a trial was lost in the wave of the crashing gather            |
      | 19   | a trial was lost with its other losses, as a zone ended        |
      | 23   | a trial that was shared with others was not told to the leader |

  Scenario: A server ends by itself while a harmless gather that crashed servers took along is tried
    # Guards against a gather that is refused for ten minutes because of one server.
    Then the model's schedule of seed 20, with gathers of 300 ms, satisfies the same rules
