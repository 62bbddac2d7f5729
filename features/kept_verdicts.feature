Feature: What hosts know of requests that crash servers outlives restarts

  Scenario: A host that starts without a leader learns which requests crash servers
    # Guards against a host without a disk that serves such a request, and so takes a server of every
    # shard, in the second before a leader is found.
    Given a host without a leader that quarantined one request and suspects another
    When a host that has just started asks it for the leader
    Then that host refuses the one, and runs the other on one server at a time, before it serves

  Scenario: A host is restarted right after it has seen what a request does
    # Guards against all hosts that are restarted before a request is quarantined, and then run it on
    # a server of every shard again.
    Given a host with a disk that quarantined one request and suspects another
    When it is restarted from its checkpoint
    Then it refuses the one, and runs the other on one server at a time

  Scenario Outline: A restarted host with a suspect, and <list>
    # Guards against a new leader that knows less and lifts a suspicion, and against a request that
    # stays a suspect after a server has answered it.
    Given a host that was restarted with a suspect
    When it is sent <list>
    Then the request is <state> there

    Examples:
      | list                                                     | state      |
      | a leader's list without it                               | a suspect  |
      | a leader's list with it                                  | a suspect  |
      | a leader's list with it and then one without it          | no suspect |
      | an answer of a server to it                              | no suspect |

  Scenario: A leader that was restarted with a suspect tells its hosts, until it is answered
    # Guards against hosts without a disk that don't know it.
    Given a leader that was restarted with a suspect, and 3 hosts
    When one of the hosts reports that a server has answered it
    Then all of them were told of the suspect, and then that it is none any more

  Scenario: Two hosts lose a request in a trial each, while other servers end
    # Neither host can tell it from the loss of a zone. Guards against a leader that doesn't count
    # what several hosts have seen.
    Given a leader that knows of no crashing request, and 3 hosts
    When two of the hosts report a lost trial of the same request, a second apart
    Then every host is told that it crashes servers

  Scenario: A leader that knows of no such request says so to each host that joins
    # Guards against a host that was paused, hears the new leader, and goes on before its lists come.
    Given a leader that knows of no crashing request, and 3 hosts
    Then each host is told so once, before anything that lets it serve

  Scenario: All hosts restart at any moment
    # Guards against the same in an order that no example has.
    Then a model of 4 hosts before 12 shards that all restart at any moment satisfies these rules
      """
      a gather that crashes its servers reaches at most 3 of them late
      no harmless gather is refused
      """
