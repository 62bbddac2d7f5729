Feature: A standby host hands requests over to active hosts

  Scenario Outline: Result of a request by what happens at the first host
    # Guards against a request that runs twice, or is refused although another host would serve it.
    Given a standby host, and active hosts "a b c d"
    When a request is handed over, and the first host <first>
    Then <end>

    Examples:
      | first                             | end                                           |
      | answers                           | one host was tried                            |
      | cannot be reached                 | another host was tried                        |
      | is a standby host as well         | another host was tried                        |
      | is stopping                       | another host was tried                        |
      | lacks the configuration version   | another host was tried                        |
      | is lost while it has the request  | the request ended as "outcome_unknown"        |
      | is overloaded                     | the request ended as "overloaded"             |
      | has no route for it               | the request ended as "not_found"              |
      | has an internal error             | the request ended as "internal"               |

  Scenario Outline: No host answers
    # Guards against a request that is retried without end, or held until its caller has left.
    Given a standby host, and active hosts "<hosts>"
    When a request is handed over, and <what>
    Then <tried> hosts were tried, and the request ended as "<end>"

    Examples:
      | hosts   | what                         | tried | end                |
      | a b c d | no host can be reached       | 3     | not_serving        |
      | a       | no host can be reached       | 1     | not_serving        |
      |         | no host can be reached       | 0     | not_serving        |
      | a b c d | every host is stopping       | 3     | stopping           |
      | a b     | its caller's deadline passed | 0     | deadline_too_short |

  Scenario: Hosts of the same availability zone are preferred, and hosts that failed are avoided
    # Guards against needless traffic between zones, and against repeated requests to a dead host.
    Given a standby host, and active hosts "a b c d"
    Then requests go to the hosts of its zone, "a c"
    When "a" could not be reached
    Then requests go to "c" only
    When "c" could not be reached
    Then requests go to the hosts of the other zone, "b d"
    When 1100 ms pass for the standby host
    Then requests go to the hosts of its zone, "a c"

  Scenario: A request and its answer go over a link unchanged
    Given an active host, reached over a link
    When a request with a body of 200000 bytes is handed over to it
    Then the request was answered as if its caller had sent it directly
    And the request had its caller's remaining time

  Scenario: The caller leaves
    # Guards against servers that work for a caller who has left.
    Given an active host, reached over a link
    When a request is handed over to it, and its caller leaves
    Then the active host has cancelled it, and its link still works

  Scenario: The standby host is lost
    Given an active host, reached over a link
    When a request is handed over to it, and the standby host is lost
    Then the active host has cancelled it

  Scenario: The active host stops responding
    # Guards against callers who wait for an answer until their deadline.
    Given an active host that accepts links and requests, and sends nothing
    When a request is handed over to it
    Then the request ended as "outcome_unknown" before its caller's deadline

  Scenario Outline: The active host answers with <what>
    # Guards against another host's answer that is passed on unread, can't be written to the caller,
    # or belongs to no request of this kind.
    Given an active host that answers with <what>
    When a request is handed over to it
    Then the request ended as "outcome_unknown" before its caller's deadline

    Examples:
      | what                      |
      | a status of 99            |
      | a status of 700           |
      | a line break in a field   |
      | a field without a name    |
      | a content length          |
      | an unreadable type        |
      | a type that isn't ASCII   |
      | a part of a gather        |
      | the end of a gather       |

  Scenario: A slow host that is alive gets the time that it needs
    # Guards against an answer that is lost because its server takes long.
    Given an active host, reached over a link
    When a request that takes three times the silence timeout is handed over to it
    Then the request was answered as if its caller had sent it directly

  Scenario Outline: The active host refuses invalid requests
    Given an active host, reached over a link
    When it receives a request with <what>
    Then it refuses that as "<kind>", naming "<field>", and its link still works

    Examples:
      | what                            | kind               | field     |
      | no time left                    | deadline_too_short | time_left |
      | an invalid target               | bad_request        |           |
      | an unknown configuration        | no_configuration   |           |

  Scenario: An invalid message closes the link
    Given an active host, reached over a link
    When it receives a request whose target is a number
    Then that link is closed, and the log names the field "HandedRequest.target"

  Scenario: A body that is too large is refused before it is sent
    Given an active host, reached over a link
    When a request with a body of 4000000 bytes is handed over to it
    Then it is refused as "too_large", naming "body", and nothing was sent

  Scenario: A stopping host waits for requests that were handed over to it
    # Guards against a request that is cut off by the planned stop of a host that its caller does not
    # know of.
    Given an active host, reached over a link
    When a request is handed over to it, and its requests in progress are counted
    Then it counts one, and none once it has answered

  Scenario Outline: Number of standby hosts
    # Guards against a small tier whose hosts cannot replace each other immediately.
    Given a leader with <hosts> hosts
    When all of them join within 1000 ms, and serve callers from then on
    And 3 seconds pass
    Then at least <least> and at most <most> hosts received the server list
    And each of the others was told that it is a standby host

    Examples:
      | hosts | least | most |
      | 11    | 11    | 11   |
      | 16    | 16    | 16   |
      | 100   | 16    | 40   |
      | 400   | 16    | 40   |

  Scenario: A standby host that reaches no active host gets the server list
    # Guards against a host that refuses its callers for good when the active hosts are lost.
    Given a leader with 100 hosts
    When all of them join within 1000 ms, and serve callers from then on
    And 2 seconds pass
    And the last host requests the server list
    And 2 seconds pass
    Then the last host received the server list

  Scenario: A host never serves by an older configuration than an active host did for it
    # Guards against a caller who finds a removed route again, right after it was refused there.
    Given a standby host with configuration 5, for which an active host served by 7
    Then it hands requests over with 7 as the oldest valid configuration
    When it becomes an active host
    Then its callers are refused as "no_configuration" until it has 7
