Feature: Forwarded requests that crash servers

  Scenario: A request that crashed servers is refused by every host
    # A request crashes each server that runs it, and its caller sends it again to any host. Without
    # a common counter, each host would let it crash servers of its own.
    Given a node's state and a leader's crash counter
    When request "r1" is lost on server "s1", which then refuses connections, and the host reports
    And request "r1" is lost on server "s2", which then refuses connections, and the host reports
    Then the host and the leader suspect "r1", and not "r2"
    When request "r1" is lost on server "s3" in a trial, which then refuses connections, and the host reports
    Then the crash counter refuses "r1" everywhere
    And the host itself refuses "r1" and not "r2"

  Scenario: A request that crashes one server at each of two hosts is a suspect at all hosts
    # A request that must not run twice is sent to one server. Each host sees one crash.
    Given a node's state and a leader's crash counter
    When request "r1" is lost on server "s1", which then refuses connections, and the host reports
    And another host reports that "r1" was lost on server "s2"
    Then the host and the leader suspect "r1", and not "r2"

  Scenario Outline: Faults that are not crashes cause no quarantine
    # Servers lose answers, restart and are lost with their whole zone. A request that was refused
    # for that would be kept from its caller for ten minutes.
    Given a node's state and a leader's crash counter
    When request "r1" encounters <event>
    Then the host itself refuses neither "r1" nor "r2"
    And the crash counter refuses nothing
    And the host <verdict> "r1"

    Examples:
      | event                                                         | verdict          |
      | two lost answers on servers that keep running                 | does not suspect |
      | a lost answer and a server that accepts no connection         | does not suspect |
      | two lost servers after which it was answered once             | does not suspect |
      | the loss of four servers at the same moment                   | suspects         |
      | a trial in which its server is lost with two others           | suspects         |
      | a trial in which its connection is lost and the server is not | suspects         |

  Scenario Outline: A request is lost in trials, <how>
    # Requests that crash servers are tried at the same moments, so each trial looks like the loss of
    # a zone. Guards against requests that hide each other for good, and take every server again
    # and again, and against refusing one that two events took.
    Given a node's state and a leader's crash counter
    When "r1" is lost in trials while two other servers end, <how>
    Then the crash counter refuses <refused>

    Examples:
      | how                                                         | refused         |
      | once                                                        | nothing         |
      | twice                                                       | "r1" everywhere |
      | twice at one moment                                         | nothing         |
      | twice, and answered between                                 | nothing         |
      | twice, once on a server that lost "r2", too                 | nothing         |
      | once here and once at another host                          | "r1" everywhere |
      | once here and once at another host, that tries "r2" there   | nothing         |
      | once here and once at another host, that loses "r2" there   | "r1" everywhere |

  Scenario Outline: Several suspects are tried at one moment, and <others> other servers end
    # Each is tried on a server of its own. Guards against requests that crash servers and hide each
    # other, as if a zone had been lost, and against refusing those that a zone's loss took.
    Given a node's state and a leader's crash counter
    When "r1 r2 r3" are lost in trials at one moment, while <others> other servers end
    Then the crash counter refuses <refused>

    Examples:
      | others | refused               |
      | 0      | "r1 r2 r3" everywhere |
      | 2      | nothing               |

  Scenario Outline: A host without a leader judges lost trials by itself
    # An answer between two trials shows that the first one was lost to something else.
    Given a node's state and a leader's crash counter
    When "r1" is lost in two trials of which no leader hears, while others end, and <between>
    Then the host itself refuses <refused>

    Examples:
      | between                                         | refused             |
      | nothing happens between                         | "r1" and not "r2"   |
      | a server of a third upstream answers it between | neither "r1" nor "r2" |

  Scenario Outline: A host that has heard its leader <ago> ms ago <decides>
    # The leader knows what other hosts tried on the same servers. Guards against a harmless request
    # that is refused for seconds, because another host's trial of a crashing one ended its server.
    Given a node's state and a leader's crash counter
    When "r1" is lost in two trials, while others end, and the leader was heard <ago> ms ago
    Then the host itself refuses <refused>

    Examples:
      | ago  | decides                  | refused               |
      | 400  | leaves the verdict to it | neither "r1" nor "r2" |
      | 2000 | goes by its own proof    | "r1" and not "r2"     |

  Scenario Outline: Of a harmless request only its trials count, as <known>
    # It was lost on three servers. In its trial, another host tried a crashing request there, too.
    # The first two were taken by a request that nobody suspects yet.
    Given a node's state and a leader's crash counter
    When hosts report that "r1" crashed "s1 s2 s3", its trial on "<own>", and <other> of "r2" on "s3"
    Then the crash counter refuses <refused>

    Examples:
      | known                               | own | other          | refused         |
      | its trial is shared                 | s3  | a trial        | nothing         |
      | its trial is shared with many       | s3  | a shared trial | nothing         |
      | its trial was on a server by itself | s2  | a trial        | "r1" everywhere |
      | no trial of it is known             |     | a trial        | "r1" everywhere |

  Scenario: One trial proves nothing of a request whose other servers another one ended
    # Guards against a harmless request that is refused because the server of its trial ended by
    # itself.
    Given a node's state and a leader's crash counter
    When hosts report that "r1" crashed "s1 s2 s3", its trial on "s3", and a trial of "r2" on "s1 s2"
    Then the crash counter refuses nothing
    When the leader hears of a second trial of "r1" 1 s later, on "s4"
    Then the crash counter refuses "r1" everywhere

  Scenario: A new leader hears nothing of the trials of a request that was answered since
    # Guards against a harmless request that is refused when the leader changes: the answer is older
    # than what a new leader is told, and has cleared it only at the former one.
    Given a node's state and a leader's crash counter
    When "r1" is lost in a trial, answered, and then the host finds a new leader
    Then the host tells it only that "r1" was answered

  Scenario Outline: The first trial of a request is lost <gap> ms after its other losses
    # It was lost on the servers of one that crashes them, and tried at once on a server that the
    # other one takes a moment later. Guards against a harmless request that is refused for that.
    Given a node's state and a leader's crash counter
    When "r1" is lost on two servers, and <gap> ms later in a trial, while no other server ends
    Then the crash counter refuses <refused>

    Examples:
      | gap | refused         |
      | 40  | nothing         |
      | 400 | "r1" everywhere |

  Scenario: A proof by a gather over many shards
    # A report has 20 servers at most. Guards against a leader that decides on the first report
    # without the trial, by servers that the gather was only lost on.
    Given a node's state and a leader's crash counter
    When "r1" is lost on 30 servers, and then in a trial
    Then the host's first report to the leader names the trial

  Scenario Outline: A report about a server forgets none before it: <reports>
    # Guards against a late report of a loss that hides what is known already.
    Given a node's state and a leader's crash counter
    When hosts report of "r1" on one server, one after another: <reports>
    Then the leader still holds it for a crash and a trial

    Examples:
      | reports            |
      | crash, trial       |
      | trial, crash       |
      | crash, trial, loss |
      | trial, crash, loss |

  Scenario: A harmless request that shares the servers of a crashing one is not quarantined
    # A crashing request runs at one host, and a harmless one at another host on the same servers. It
    # is lost on each of them. Only the crashing one was lost on a server without the other.
    Given a node's state and a leader's crash counter
    When hosts report within 100 ms that "r1" crashed servers "s1 s2 s3", and "r2" servers "s1 s2"
    Then the crash counter refuses "r1" everywhere
    And the leader suspects "r2"

  Scenario: A harmless request that is reported after the crashing one was quarantined is none
    Given a node's state and a leader's crash counter
    When hosts report within 100 ms that "r1" crashed servers "s1 s2 s3", and "r3" servers "s1 s2"
    And another host reports 1 s later that "r2" crashed servers "s1 s3"
    Then the crash counter refuses "r1" everywhere

  Scenario: A request that crashes the servers of one shard of many is a suspect there
    # The other shards answer it, which clears it of nothing at this one.
    Given a node's state and a leader's crash counter
    When request "r1" is lost on two servers of "kitchen", and "deskline" answers after each
    Then the trial of "r1" goes to "kitchen"

  Scenario: Crashes far apart and old quarantines are dropped
    Given a node's state and a leader's crash counter
    Then two crashes 61 s apart cause no quarantine, and a quarantine ends after 600 s

  Scenario: A host ends a quarantine by itself
    # The caller is told to retry after ten minutes. Guards against a host that refuses the request
    # forever, because it saw the crashes itself or lost its leader before the quarantine ended.
    Given a node's state and a leader's crash counter
    When the leader reports that "r1 r2" are quarantined, and then stops responding
    Then the host refuses "r1" and "r2" for 590 s and not after 602 s
    And the host suspects "r1"
    When a server answers "r1"
    Then the host does not suspect "r1"

  Scenario: A new leader that knows less lifts no quarantine
    # A change of the leader must not let a request crash a server of every shard again.
    Given a node's state and a leader's crash counter
    When the leader reports that "r1" are quarantined, and then stops responding
    And the leader reports that "" are quarantined, and then stops responding
    Then the host itself refuses "r1" and not "r2"

  Scenario: A quarantine survives the restart of its host
    # All hosts lose power at once; the caller sends the request again once they are back.
    Given a node's state and a leader's crash counter
    When the leader reports that "r1" are quarantined, and then stops responding
    And 100 s later the host is restarted from its checkpoint
    Then the host refuses "r1" for 490 s and not after 502 s

  Scenario Outline: A suspect whose server says nothing, on a route that is <kind>
    # Guards against an order that runs on two servers because the first one takes long, while its
    # path and body are those of requests that were lost on other servers.
    Given a suspect on a route with 2 servers that is <kind>
    When its server has said nothing for 5 s
    Then it was sent to <count> servers

    Examples:
      | kind           | count |
      | idempotent     | 2     |
      | not idempotent | 1     |
