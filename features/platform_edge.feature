Feature: Adapter to the users' platform

  Scenario Outline: An invalid configuration is refused completely, naming the field
    # Two operators edit configurations by hand, and requests may be truncated in transit. A partly
    # valid configuration must not replace a working one.
    Given a platform configuration in which <error>
    Then decoding it is refused with 400, naming "<field>"

    Examples:
      | error                            | field                           |
      | the body is truncated            |                                 |
      | the body is not JSON             |                                 |
      | the body is a list               |                                 |
      | the version is missing           | version                         |
      | the version is a string          | version                         |
      | the routes are missing           | routes                          |
      | a route names an unknown service | routes.1.service                |
      | a shard is an unknown service    | routes.0.service                |
      | two routes share host and prefix | routes.0.path-prefix            |
      | a timeout is 0                   | routes.1.timeout-ms             |
      | a timeout is negative            | routes.1.timeout-ms             |
      | the sum of the weights is 0      | routes.1.traffic-split          |
      | a weight is a string             | routes.1.traffic-split.0.weight |
      | a shard occurs twice             | routes.0.gather                 |
      | a route has no name              | routes.1.name                   |
      | a limit is a string              | limits.max-body-bytes           |

  Scenario: Any change of a configuration is refused, or can be served by
    # Guards against a configuration that is accepted and then ends the process of each host that it
    # reaches, again at each start.
    Then any configuration with some fields changed is refused with 400, or a host serves by it

  Scenario: A valid configuration is decoded completely
    Given a platform configuration as an operator sends it
    Then its routes, upstreams and limits are decoded as declared

  Scenario: Only routes that are declared idempotent are idempotent
    # Whether a request is idempotent may change from one configuration to the next. An unknown
    # route type must not allow an order to run twice.
    Given a platform configuration as an operator sends it
    Then these route types make a route idempotent or not
      | type   | idempotent |
      | safe   | yes        |
      | unsafe | no         |
      | keyed  | no         |
      | SAFE   | no         |

  Scenario Outline: Invalid entries in the list of servers are ignored
    # Other writers also add entries to the list. An invalid entry must not affect the valid ones.
    Given a list of servers in which one entry <error>
    Then only the other server is read from the list

    Examples:
      | error                                           |
      | is a string                                     |
      | is null                                         |
      | has no instance-id                              |
      | has a number as service                         |
      | has an address without port                     |
      | has a port out of range                         |
      | has 0 slots                                     |
      | has true as slots                               |
      | has an unknown state                            |
      | has unreadable bytes as address                 |
      | has a host name as address                      |
      | has an endless port                             |
      | has digits of another script as port            |
      | has an instance-id that no header field carries |
      | has an instance-id that isn't ASCII             |
      | has an instance-id of 300 characters            |
      | has an unreadable service                       |
      | has a lone surrogate as zone                    |
      | has endless slots                               |

  Scenario: The states of draining and warming servers are read
    Given a list of servers with one that is draining and one that finishes warming up in 2500 ms
    Then the first is read as draining and the second as warming up for 2500 ms

  Scenario Outline: Classification of a server's answer
    Given a forwarded request with the ID "a1"
    Then a server's answer of status <status> with "<fields>" is classified as <fault>

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
      | 429    | Attempt-Id: a1; Server-Seal: s                       | failed       |
      | 408    | Attempt-Id: a1; Server-Seal: s                       | failed       |
      | 503    | Attempt-Id: a1; Not-Executed:                        | failed       |
      | 200    | Attempt-Id: a1; Server-Seal: s; Not-Executed: 1      | garbage      |
      | 200    | Attempt-Id: a1; Attempt-Id: a2; Server-Seal: s       | wrong_answer |
      | 503    | Attempt-Id: a1; Attempt-Id: a2; Not-Executed: 1      | wrong_answer |
      | 200    | Attempt-Id: a1; Attempt-Id: a1; Server-Seal: s       | none         |
      | 421    | Instance-Id: i-2                                     | moved        |

  Scenario Outline: Only a success with one readable signature is part of a merged answer
    # Guards against a merged answer that names a signature which no server gave, or a server's
    # failure. Callers take all of such an answer for wrong.
    Given a forwarded request with the ID "a1"
    Then a shard's answer of status <status> with the signatures "<signatures>" is <fault>

    Examples:
      | status | signatures | fault   |
      | 200    | s.01       | none    |
      | 206    | s.01       | none    |
      | 200    |            | garbage |
      | 200    | a, b       | garbage |
      | 200    | a b        | garbage |
      | 200    | s;s        | garbage |
      | 200    | s\xe9      | garbage |
      | 200    | s\x00      | garbage |
      | 302    | s.01       | failed  |
      | 404    | s.01       | failed  |
      | 429    | s.01       | failed  |

  Scenario Outline: A time budget that is no number is refused, naming the field
    # Guards against one request that ends the process, as some numbers can't be written to servers.
    Given a caller's request with the time budget "<budget>"
    Then it is refused with 400, naming "Time-Budget-Ms"

    Examples:
      | budget |
      | nan    |
      | inf    |
      | 1e400  |
      | soon   |

  Scenario Outline: A time budget is read
    Given a caller's request with the time budget "<budget>"
    Then it has <left> ms left

    Examples:
      | budget             | left     |
      | 2000               | 2000     |
      | 1500.25            | 1500.25  |
      | -3                 | -3       |
      | 1999.9999999999998 | 2000     |
      | 999999999999999    | 86400000 |

  Scenario: No figure of a server spoils what is known of it
    # Guards against one answer that ends the process, or keeps its server out for good.
    Then any text as load or pause is left out, or is read as a small number

  Scenario: No signature of a server spoils an answer
    Then any bytes as signatures are refused, or are passed on in a head that clients can read

  Scenario: Hop-by-hop header fields are not forwarded
    # Forwarding them would allow request smuggling: a caller that sets framing fields could insert
    # a request before that of the next caller.
    Given a caller's request with the fields
      | name            | value              |
      | Host            | Fleet.Example:8104 |
      | Attempt-Id      | a1                 |
      | Time-Budget-Ms  | 2000               |
      | Expect-Instance | i-9                |
      | Connection      | keep-alive, X-Hop  |
      | Keep-Alive      | timeout=5          |
      | X-Hop           | 1                  |
      | TE              | trailers           |
      | X-Custom        | kept               |
    Then a server "i-1" with 1500.7 ms left gets exactly
      | name            | value              |
      | host            | Fleet.Example:8104 |
      | attempt-id      | a1                 |
      | x-custom        | kept               |
      | time-budget-ms  | 1500               |
      | expect-instance | i-1                |
    And the request is for host "fleet.example" with 2000 ms left

  Scenario Outline: The caller's response for an outcome
    Then the outcome "<outcome>" of a <route> route is answered with <status> and "<field>"

    Examples:
      | outcome                       | route   | status | field              |
      | answered                      | single  | 200    | server-seal: s0    |
      | answered by two               | scatter | 200    | part-seals: s0, s1 |
      | answered by two               | scatter | 200    | missing-parts: 18  |
      | not run                       | single  | 503    | retry-after: 0.250 |
      | not run                       | scatter | 503    | retry-after: 0.250 |
      | failed                        | single  | 502    |                    |
      | timeout                       | scatter | 504    |                    |
      | failed with a server's answer | single  | 500    | server-seal: s0    |
      | failed with a server's answer | scatter | 502    |                    |

  Scenario Outline: What servers say is not passed on where it would not be true
    # Guards against a caller that is told that its request has not run, though it may have, and
    # against a merged answer that names one signature twice, which is wrong as a whole.
    Then the outcome "<outcome>" of a <route> route is answered with <status> and "<field>"

    Examples:
      | outcome                              | route   | status | field            |
      | failed with a server's 503           | single  | 502    |                  |
      | failed with a server's 429           | single  | 502    |                  |
      | failed with a server's 408           | single  | 502    |                  |
      | 20 parts, two with one signature     | scatter | 200    | missing-parts: 2 |
      | 19 parts, two with one signature     | scatter | 502    |                  |
      | 2 hosts' parts, two with a signature | scatter | 502    |                  |

  Scenario Outline: Invalid settings are refused, naming the key
    Given the platform's settings with "<key>" changed to "<value>"
    Then parsing them is refused, naming "<key>"

    Examples:
      | key                      | value                  |
      | node-name                |                        |
      | ip                       |                        |
      | bind-addresses.front     | 10.1.0.6               |
      | internal-ports           | many,7395              |
      | bounds.grace-s           | soon                   |
      | cloud-api.address        | nowhere                |
      | fault-tolerance.machines | some                   |
      | bounds.strict-revocation | maybe                  |
      | bounds.revoke-ms         | 0                      |
      | bounds.revoke-ms         | soon                   |
      | bounds.revoke-ms         | nan                    |
      | bounds.grace-s           | inf                    |
      | limits.cpu-cores         | nan                    |
      | internal-ports           | 99999999999999999999,1 |

  Scenario: Settings of hosts with and without a disk
    Then the platform's settings are parsed as those of a host with a disk
    And without a data folder the host does not take part in the replicated log
    And unknown keys are ignored

  Scenario Outline: Invalid overrides of the policy are refused, naming the value
    Then overriding the policy with "<text>" is refused, naming "<name>"

    Examples:
      | text                           | name           |
      | near_factr=3                   | near_factr     |
      | near_factor=                   | near_factor    |
      | near_factor=soon               | near_factor    |
      | near_factor=nan                | near_factor    |
      | eject_failures=many            | eject_failures |
      | near_factor=3, zone_cost_ms=no | zone_cost_ms   |

  Scenario: Overrides change only the values that they name
    Then overriding the policy with "" changes nothing
    And overriding the policy with "near_factor=0, eject_failures=5" changes only these two

  Scenario: The platform's example files are valid
    Then the example settings and the example configuration of the platform are valid

  Scenario: A settings file that is no text
    # Guards against a file that is read while it is written, and ends the process at its next SIGHUP.
    Given a settings file with bytes that aren't UTF-8
    Then reading it is refused
