Feature: Hosts tell each other whose request it is, without the key

  Scenario Outline: The host that asks servers checks what the first host decided
    # Guards against servers that run requests for a key that was taken away, for as long as any
    # other host still knows it, and against requests that run for the wrong organisation.
    Given a host with organisations in configuration 5
    When another host decided "north" for "north-key" by configuration 5, and then <what>
    And it hands over a request on a <route> route
    Then the caller gets "<result>", and the server is told the organisation "<told>"

    Examples:
      | what                                  | route   | result           | told  |
      | nothing changes                       | private | 503              | north |
      | its second key is taken away          | private | 503              | north |
      | the key is taken away                 | private | unauthorized     |       |
      | the key moves to south                | private | unauthorized     |       |
      | the organisation is removed           | private | unauthorized     |       |
      | the organisation is renamed           | private | unauthorized     |       |
      | the key is taken away and given again | private | 503              | north |
      | no organisations are declared         | private | 503              |       |
      | the lease of this host runs out       | private | lease_expired    |       |
      | this host becomes a standby host      | private | not_serving      |       |
      | the key is taken away                 | public  | 503              |       |
      | the key moves to south                | public  | 503              |       |
      | nothing changes                       | public  | 503              | north |
      | the lease of this host runs out       | public  | 503              | north |

  Scenario: A host that is behind waits for the version by which the first host decided
    Given a host with organisations in configuration 5
    When another host decided "east" for "east-key" by configuration 6, which arrives 200 ms later
    And it hands over a request on a private route
    Then the caller gets "503", and the server is told the organisation "east"

  Scenario: A host that stays behind refuses
    Given a host with organisations in configuration 5
    When another host decided "east" for "east-key" by configuration 6, which never arrives
    And it hands over a request on a private route
    Then the caller gets "no_configuration", and nothing has left the host

  Scenario Outline: A request of a host that has decided nothing
    # An earlier build, or a host without organisations so far, sends all fields of its caller.
    Given a host with organisations in configuration 5
    When a host that has decided nothing hands over a request with "<fields>"
    Then the caller gets "<result>", and the server is told the organisation "<told>"

    Examples:
      | fields                            | result       | told  |
      | Api-Key: south-key; Tenant: north | 503          | south |
      | Tenant: north                     | unauthorized |       |
      | Api-Key: nobody                   | unauthorized |       |

  Scenario: A caller's fields don't count beside another host's decision
    Given a host with organisations in configuration 5
    When another host decided "north" for "north-key" by configuration 5, and then nothing changes
    And it hands over a request with "Api-Key: south-key; Tenant: south"
    Then the caller gets "503", and the server is told the organisation "north"
    And the request would go on to further hosts with the same decision

  Scenario Outline: The decision travels over a link
    Given an active host, reached over a link
    When a request <of whom> is handed over to it
    Then the other host sees that it is <of whom>, as a message of type "<type>"

    Examples:
      | of whom                             | type              |
      | of an organisation                  | IdentifiedRequest |
      | on a public route without a key     | IdentifiedRequest |
      | of a tier without organisations     | HandedRequest     |

  Scenario Outline: An invalid decision is refused before anything runs
    Given an active host, reached over a link
    When it receives an identified request with <mistake>
    Then it refuses that as "bad_request", naming "<field>", and its link still works
    And the log names the other host and the field "<field>"

    Examples:
      | mistake                        | field                 |
      | a version of 0                 | identity.version      |
      | a negative version             | identity.version      |
      | an empty organisation          | identity.organisation |
      | no digest of the key           | identity.key_digest   |
      | a digest without organisation  | identity.key_digest   |
      | an empty digest                | identity.key_digest   |
      | a digest that is too long      | identity.key_digest   |

  Scenario Outline: A decision of the wrong type closes the link
    Given an active host, reached over a link
    When it receives an identified request whose <what> is of the wrong type
    Then that link is closed, and the log names the field "<field>"

    Examples:
      | what         | field                                   |
      | version      | IdentifiedRequest.identity.version      |
      | organisation | IdentifiedRequest.identity.organisation |
      | digest       | IdentifiedRequest.identity.key_digest   |
      | target       | IdentifiedRequest.request.target        |

  Scenario Outline: The host of a share checks what the first host decided
    Given a host with organisations in configuration 5
    When another host decided "north" for "north-key" by configuration 5, and then <what>
    And it asks for a share of a gather
    Then the share ends with "<result>", and its servers are told the organisation "<told>"

    Examples:
      | what                             | result           | told  |
      | nothing changes                  | its parts        | north |
      | the key is taken away            | unauthorized     |       |
      | the key moves to south           | unauthorized     |       |
      | the lease of this host runs out  | lease_expired    |       |
      | this host becomes a standby host | not_serving      |       |
      | no organisations are declared    | its parts        |       |

  Scenario: A share for a version that has not arrived
    Given a host with organisations in configuration 5
    When another host decided "east" for "east-key" by configuration 6, which never arrives
    And it asks for a share of a gather
    Then the share ends with "no_configuration", and its servers are told the organisation ""

  Scenario Outline: A share that another host does not deliver
    # A key is taken away while a gather is in progress. Guards against servers that are then asked
    # by the first host, which has checked the key when the request arrived.
    Given a host with organisations in configuration 5
    When it splits a gather of north with another host, then <what>, and that host <how>
    Then it <asks> servers for the shards of the other host, and <avoids> that host for a while

    Examples:
      | what                            | how                          | asks         | avoids         |
      | nothing changes                 | is lost                      | asks         | avoids         |
      | the key is taken away           | is lost                      | doesn't ask  | avoids         |
      | the key moves to south          | is lost                      | doesn't ask  | avoids         |
      | the lease of this host runs out | is lost                      | doesn't ask  | avoids         |
      | nothing changes                 | refuses it as lease_expired  | asks         | avoids         |
      | nothing changes                 | refuses it as unauthorized   | doesn't ask  | doesn't avoid  |

  Scenario Outline: A request that waits for its turn while its key is taken away
    # Guards against a key that is served for as long as requests wait, and a quota that loses a
    # token to a request that has not run.
    Given a host with organisations in configuration 5
    When a request of north waits for its turn, and meanwhile <what>
    Then the caller gets "<result>", the server was asked <times> times, and <tokens> tokens were given back

    Examples:
      | what                            | result        | times | tokens |
      | nothing changes                 | 503           | 1     | 1      |
      | the key is taken away           | unauthorized  | 0     | 1      |
      | the key moves to south          | unauthorized  | 0     | 1      |
      | the lease of this host runs out | lease_expired | 0     | 1      |
      | its turn is refused             | overloaded    | 0     | 1      |
      | its caller leaves               | cancelled     | 0     | 1      |
