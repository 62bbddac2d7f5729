Feature: A host that stands by has another one answer

  Scenario Outline: What becomes of a request when the other host does not answer it
    # Guards against a request that runs twice, or is refused although another host would serve it.
    Given a host that stands by, and others "a b c d" that serve callers
    When a request is handed over, and the first one <first>
    Then <end>

    Examples:
      | first                             | end                                           |
      | answers                           | one host was asked                            |
      | can't be reached                  | another host was asked                        |
      | stands by as well                 | another host was asked                        |
      | is about to end                   | another host was asked                        |
      | has no such configuration yet     | another host was asked                        |
      | is lost while it has the request  | the request ended as "outcome_unknown"        |
      | is overloaded                     | the request ended as "overloaded"             |
      | knows no route for it             | the request ended as "not_found"              |
      | has a fault                       | the request ended as "internal"               |

  Scenario Outline: Nobody answers
    # Guards against a request that is tried without end, or held until its caller has gone.
    Given a host that stands by, and others "<hosts>" that serve callers
    When a request is handed over, and <what>
    Then <asked> hosts were asked, and the request ended as "<end>"

    Examples:
      | hosts   | what                        | asked | end                |
      | a b c d | no host can be reached      | 3     | not_serving        |
      | a       | no host can be reached      | 1     | not_serving        |
      |         | no host can be reached      | 0     | not_serving        |
      | a b c d | every host is about to end  | 3     | stopping           |
      | a b     | its caller's time is up     | 0     | deadline_too_short |

  Scenario: Hosts of the own availability zone go first, and those that failed last
    # Guards against bytes that cross zones without need, and against a dead host that is asked again.
    Given a host that stands by, and others "a b c d" that serve callers
    Then requests go to the hosts of its zone, "a c"
    When "a" could not be reached
    Then requests go to "c" only
    When "c" could not be reached
    Then requests go to the hosts of the other zone, "b d"
    When 1100 ms pass for the host that stands by
    Then requests go to the hosts of its zone, "a c"

  Scenario: A request and its answer go over a link unchanged
    Given a host that serves callers, reached over a link
    When a request with a body of 200000 bytes is handed to it
    Then it was answered as if it had come from its caller
    And it had the time that its caller had left

  Scenario: Its caller leaves
    # Guards against servers that work for a caller who has gone.
    Given a host that serves callers, reached over a link
    When a request is handed to it, and its caller leaves
    Then the other host has cancelled it, and its link serves on

  Scenario: The host that stands by is lost
    Given a host that serves callers, reached over a link
    When a request is handed to it, and the host that handed it over is lost
    Then the other host has cancelled it

  Scenario: The other host goes dark
    # Guards against callers who wait for an answer until their time is over.
    Given a host that takes links and requests, and says nothing more
    When a request is handed to it
    Then the request ended as "outcome_unknown" while its caller still waits

  Scenario: A host that is slow but there is waited for
    # Guards against an answer that is thrown away because its server takes long.
    Given a host that serves callers, reached over a link
    When a request that takes three times as long as a silent link is kept is handed to it
    Then it was answered as if it had come from its caller

  Scenario Outline: Requests that make no sense are refused by the host that serves
    Given a host that serves callers, reached over a link
    When it is handed a request with <what>
    Then it refuses that as "<kind>", naming "<field>", and its link serves on

    Examples:
      | what                              | kind               | field     |
      | no time left                      | deadline_too_short | time_left |
      | a target that is no path          | bad_request        |           |
      | a configuration that nobody has   | no_configuration   |           |

  Scenario: A message that is none closes the link
    Given a host that serves callers, reached over a link
    When it is sent a request whose target is a number
    Then that link is closed, and the log names the field "HandedRequest.target"

  Scenario: A body that is too large is refused before it is sent
    Given a host that serves callers, reached over a link
    When a request with a body of 4000000 bytes is handed to it
    Then it is refused as "too_large", naming "body", and nothing was sent

  Scenario: A stopping host waits for the requests of others
    # Guards against a request that is cut off by the planned stop of a host that its caller does not
    # know of.
    Given a host that serves callers, reached over a link
    When a request is handed to it, and it counts what it has under way
    Then it counts one, and none once it has answered

  Scenario Outline: Who stands by
    # Guards against a small tier whose hosts can't take each other's place at once.
    Given a leader with <hosts> hosts
    When all of them join within 1000 ms, and serve callers from then on
    And 3 seconds pass
    Then at least <least> and at most <most> hosts were told the list of servers
    And each of the others was told that it stands by

    Examples:
      | hosts | least | most |
      | 11    | 11    | 11   |
      | 16    | 16    | 16   |
      | 100   | 16    | 40   |
      | 400   | 16    | 40   |

  Scenario: A host that stands by and reaches nobody gets the list of servers
    # Guards against a host that refuses its callers for good when those that serve are gone.
    Given a leader with 100 hosts
    When all of them join within 1000 ms, and serve callers from then on
    And 2 seconds pass
    And the last host asks for the list of servers
    And 2 seconds pass
    Then the last host was told the list of servers

  Scenario: A host never serves by an older configuration than others did for it
    # Guards against a caller who finds a route that was removed, right after it was refused.
    Given a host that stands by with configuration 5, for which another one served by 7
    Then it hands requests over with 7 as the least configuration
    When it serves by itself
    Then its callers are refused as "no_configuration" until it has 7
