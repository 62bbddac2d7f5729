Feature: What the users' platform says, translated

  Scenario Outline: An invalid configuration is refused whole, naming the field
    # Two operators edit by hand, and calls are cut off on their way. A configuration that is half
    # right must not replace one that works.
    Given a platform configuration in which <mistake>
    Then reading it is refused with 400, naming "<field>"

    Examples:
      | mistake                                | field                             |
      | the body is cut short                  |                                   |
      | the body is no JSON                    |                                   |
      | the body is a list                     |                                   |
      | the version is missing                 | version                           |
      | the version is a text                  | version                           |
      | the routes are missing                 | routes                            |
      | a route names an unknown service       | routes.1.service                  |
      | a shard is an unknown service          | routes.0.service                  |
      | two routes share host and prefix       | routes.0.path-prefix              |
      | a timeout is 0                         | routes.1.timeout-ms               |
      | a timeout is negative                  | routes.1.timeout-ms               |
      | the weights add up to 0                | routes.1.traffic-split            |
      | a weight is a text                     | routes.1.traffic-split.0.weight   |
      | a shard is named twice                 | routes.0.gather                   |
      | a route has no name                    | routes.1.name                     |
      | a limit is a text                      | limits.max-body-bytes             |

  Scenario: A valid configuration is read whole
    Given a platform configuration as an operator sends it
    Then its routes, upstreams and limits are read as they were meant

  Scenario: What is not declared idempotent is not
    # The same kind of request is idempotent on one day and not on another. A word that is not known
    # must not let an order run twice.
    Given a platform configuration as an operator sends it
    Then these words for the kind of a route make it idempotent or not
      | word   | idempotent |
      | safe   | yes        |
      | unsafe | no         |
      | keyed  | no         |
      | SAFE   | no         |

  Scenario Outline: An entry of the list of servers that can't be read names no server
    # Another writer puts entries into the list. One bad entry must not cost the good ones.
    Given a list of servers in which one entry <mistake>
    Then reading the list gives the other server only

    Examples:
      | mistake                    |
      | is a text                  |
      | is null                    |
      | has no instance-id         |
      | has a number as service    |
      | has an address without port |
      | has a port out of range    |
      | has 0 slots                |
      | has true as slots          |
      | has an unknown state       |

  Scenario: A server that leaves, and one that warms up, are read as such
    Given a list of servers with one that is draining and one that is warm in 2500 ms
    Then the first is read as draining and the second as warm in 2500 ms

  Scenario Outline: What a server's answer means
    Given a forwarded request with the id "a1"
    Then a server's answer of status <status> with "<fields>" is read as <fault>

    Examples:
      | status | fields                                               | fault        |
      | 200    | Attempt-Id: a1; Server-Seal: s                       | none         |
      | 404    | Attempt-Id: a1; Server-Seal: s                       | none         |
      | 200    | Attempt-Id: a2; Server-Seal: s                       | wrong_answer |
      | 200    | Server-Seal: s                                       | wrong_answer |
      | 500    | Attempt-Id: a2; Server-Seal: s                       | wrong_answer |
      | 200    | Attempt-Id: a1                                       | garbage      |
      | 200    | Attempt-Id: a1; Server-Seal: s; Content-Encoding: br | garbage      |
      | 500    | Attempt-Id: a1; Server-Seal: s                       | failed       |
      | 503    | Not-Executed: 1                                      | shed         |
      | 429    | Not-Executed: 1; Retry-After: 0.5                    | shed         |
      | 503    | Attempt-Id: a1; Server-Seal: s                       | failed       |
      | 421    | Instance-Id: i-2                                     | moved        |

  Scenario: Header fields of one connection are not passed on
    # A caller that could add fields of its own framing to the request of the next one would have
    # smuggled in a request.
    Given a caller's request with the fields
      | name           | value                     |
      | Host           | Fleet.Example:8104        |
      | Attempt-Id     | a1                        |
      | Time-Budget-Ms | 2000                      |
      | Expect-Instance | i-9                      |
      | Connection     | keep-alive, X-Hop         |
      | Keep-Alive     | timeout=5                 |
      | X-Hop          | 1                         |
      | TE             | trailers                  |
      | X-Custom       | kept                      |
    Then a server "i-1" with 1500.7 ms left gets exactly
      | name            | value              |
      | host            | Fleet.Example:8104 |
      | attempt-id      | a1                 |
      | x-custom        | kept               |
      | time-budget-ms  | 1500               |
      | expect-instance | i-1                |
    And the request is for host "fleet.example" with 2000 ms left

  Scenario Outline: How an outcome is told to the caller
    Then the outcome "<outcome>" of a <route> route is told as <status> with "<field>"

    Examples:
      | outcome                    | route   | status | field                 |
      | answered                   | single  | 200    | server-seal: s0       |
      | answered by two            | scatter | 200    | part-seals: s0, s1    |
      | answered by two            | scatter | 200    | missing-parts: 18     |
      | not run                    | single  | 503    | retry-after: 0.250    |
      | not run                    | scatter | 503    | retry-after: 0.250    |
      | failed                     | single  | 502    |                       |
      | timeout                    | scatter | 504    |                       |
      | failed by a server's word  | single  | 500    | server-seal: s0       |
      | failed by a server's word  | scatter | 502    |                       |

  Scenario Outline: A settings file that can't be used is refused, naming the key
    Given the platform's settings with "<key>" changed to "<value>"
    Then reading them is refused, naming "<key>"

    Examples:
      | key                        | value      |
      | node-name                  |            |
      | ip                         |            |
      | bind-addresses.front       | 10.1.0.6   |
      | internal-ports             | many,7395  |
      | bounds.grace-s             | soon       |
      | cloud-api.address          | nowhere    |
      | fault-tolerance.machines   | some       |

  Scenario: The settings of a host with a disk, and of one without
    Then the platform's settings are read as those of a host with a disk
    And without a data folder the host takes no part in the replicated log
    And keys that are not known change nothing

  Scenario Outline: Numbers of the policy that can't be used are refused, naming them
    Then changing the policy by "<text>" is refused, naming "<name>"

    Examples:
      | text                           | name         |
      | near_factr=3                   | near_factr   |
      | near_factor=                   | near_factor  |
      | near_factor=soon               | near_factor  |
      | near_factor=nan                | near_factor  |
      | eject_failures=many            | eject_failures |
      | near_factor=3, zone_cost_ms=no | zone_cost_ms |

  Scenario: Numbers of the policy that are changed, and those that are not
    Then changing the policy by "" changes nothing
    And changing the policy by "near_factor=0, eject_failures=5" changes just these two

  Scenario: The examples for the platform have no mistakes
    Then the example settings and the example configuration of the platform are read whole
