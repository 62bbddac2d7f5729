Feature: Organisations whose keys identify callers

  Scenario Outline: An invalid organisation is refused completely, naming the field
    # Guards against a configuration that is in force in part, and against keys in messages, which
    # end up in logs and with other operators.
    Given a configuration of two organisations in which <error>
    Then it is refused with 400 naming "<field>", and no key is in the message

    Examples:
      | error                                   | field                  |
      | the organisations are null              | tenants                |
      | the organisations are a map             | tenants                |
      | an organisation is a string             | tenants.1              |
      | a name is missing                       | tenants.1.name         |
      | a name is empty                         | tenants.1.name         |
      | a name occurs twice                     | tenants.1.name         |
      | a name has a line break                 | tenants.1.name         |
      | a name has a control character          | tenants.1.name         |
      | a name is not Latin-1                   | tenants.1.name         |
      | a name ends with a space                | tenants.1.name         |
      | the keys are missing                    | tenants.1.api-keys     |
      | the keys are a string                   | tenants.1.api-keys     |
      | a key is a number                       | tenants.1.api-keys     |
      | a key is empty                          | tenants.1.api-keys.1   |
      | a key begins with a space               | tenants.1.api-keys.1   |
      | a key has a line break                  | tenants.1.api-keys.1   |
      | a key is not Latin-1                    | tenants.1.api-keys.1   |
      | both have the same key                  | tenants.1.api-keys     |
      | a rate is below 0                       | tenants.1.rate-per-s   |
      | a rate is a string                      | tenants.1.rate-per-s   |
      | a rate is true                          | tenants.1.rate-per-s   |
      | a rate is null                          | tenants.1.rate-per-s   |
      | a rate is NaN                           |                        |
      | a rate is infinite                      |                        |
      | a burst is below 0                      | tenants.1.burst-size   |
      | a burst is a list                       | tenants.1.burst-size   |
      | a priority is not whole                 | tenants.1.priority     |
      | a priority is below 0                   | tenants.1.priority     |
      | a priority is a string                  | tenants.1.priority     |
      | a route is public by a string           | routes.1.public        |
      | a route is public by null               | routes.1.public        |

  Scenario: Organisations are decoded as declared
    Given a configuration of two organisations
    Then its organisations have the names, keys, priorities and quotas that are declared
    And only the route that says so is public
    And a key that one organisation lists twice counts once
    And an empty list of organisations is not the same as none

  Scenario: A stored configuration that this build finds invalid
    # A host of an earlier build accepted it. Guards against a process that ends with an error, and
    # again at each start from its checkpoint.
    Given a host with organisations in configuration 5
    When it receives configuration 7, in which two organisations share a key
    Then it keeps configuration 5, and logs the field "tenants.1.api-keys" without a key

  Scenario: A stored configuration of an earlier build, without organisations
    Given a host without organisations
    Then a request with a key and the caller's own organisation field is served, and both reach the server unchanged

  Scenario Outline: Whose organisation a request belongs to
    # Guards against callers who are served as another organisation, or without one.
    Given a host with organisations in configuration 5
    When a caller sends "<fields>" on a <route> route
    Then the caller gets "<result>", and the server is told the organisation "<told>"

    Examples:
      | fields                                             | route   | result       | told  |
      | Api-Key: north-key                                 | private | 503          | north |
      | Api-Key: north-second                              | private | 503          | north |
      | Api-Key: south-key                                 | private | 503          | south |
      | Api-Key: clé                                       | private | 503          | south |
      | API-KEY: north-key                                 | private | 503          | north |
      |                                                    | private | unauthorized |       |
      | Api-Key:                                           | private | unauthorized |       |
      | Api-Key: nobody                                    | private | unauthorized |       |
      | Api-Key: NORTH-KEY                                 | private | unauthorized |       |
      | Api-Key: north-key x                               | private | unauthorized |       |
      | Api-Key: clÃ©                                      | private | unauthorized |       |
      | Api-Key: north-key; Api-Key: south-key             | private | unauthorized |       |
      | Api-Key: north-key; Api-Key: north-key             | private | unauthorized |       |
      | Tenant: north                                      | private | unauthorized |       |
      | Api-Key: south-key; Tenant: north                  | private | 503          | south |
      | Api-Key: south-key; Tenant: north; TENANT: north   | private | 503          | south |
      | Api-Key: south-key; Tenant: north; Connection: x   | private | 503          | south |
      | Api-Key: south-key; Connection: tenant, api-key    | private | 503          | south |
      |                                                    | public  | 503          |       |
      | Api-Key: nobody                                    | public  | 503          |       |
      | Api-Key: north-key                                 | public  | 503          | north |
      | Tenant: north                                      | public  | 503          |       |
      | Tenant: north; Connection: tenant                  | public  | 503          |       |
      | Api-Key: north-key; Api-Key: north-key             | public  | 503          |       |

  Scenario Outline: The order of decisions, at <standing> host
    # Guards against a server that is asked for a caller without a key, and against a caller who
    # learns from a host that is behind that its key is unknown.
    Given <standing> host with organisations in configuration 5
    When <what>, and a caller sends "<fields>" on a <route> route
    Then the caller gets "<result>", and nothing has left the host

    Examples:
      | standing  | what                         | fields             | route   | result           |
      | an active | nothing is wrong             | Api-Key: nobody    | private | unauthorized     |
      | a standby | nothing is wrong             | Api-Key: nobody    | private | unauthorized     |
      | a standby | nothing is wrong             |                    | private | unauthorized     |
      | an active | nothing is wrong             | Api-Key: nobody    | missing | not_found        |
      | a standby | nothing is wrong             | Api-Key: nobody    | missing | not_found        |
      | an active | its lease has run out        | Api-Key: nobody    | private | lease_expired    |
      | a standby | its lease has run out        | Api-Key: nobody    | private | lease_expired    |
      | a standby | its lease has run out        | Api-Key: north-key | private | lease_expired    |
      | an active | a newer version is in force  | Api-Key: nobody    | private | no_configuration |
      | a standby | a newer version is in force  | Api-Key: nobody    | private | no_configuration |
      | an active | its lease has run out        | Api-Key: nobody    | missing | not_found        |

  Scenario Outline: Public routes are served without a lease
    Given <standing> host with organisations in configuration 5
    When its lease has run out, and a caller sends "Api-Key: north-key" on a public route
    Then the caller is served

    Examples:
      | standing  |
      | an active |
      | a standby |

  Scenario: A host without a configuration
    # Guards against a host that lets everyone in, as no organisation is declared yet.
    Given a host without a configuration
    When a caller sends "Api-Key: north-key" on a private route
    Then the caller gets "no_configuration", and nothing has left the host

  Scenario: A standby host hands a request over without the key
    Given a standby host with organisations in configuration 5
    When a caller sends "Api-Key: south-key; Tenant: north; X-Note: 1" on a private route
    Then it hands the request over with "x-note: 1", without the key and the caller's organisation field

  Scenario Outline: Which priority counts for a request
    Then a route of priority 2 and an organisation of priority <own> give the priority <counts>

    Examples:
      | own  | counts |
      | none | 2      |
      | 0    | 0      |
      | 5    | 5      |

  Scenario Outline: What a caller is told
    # Guards against callers who try again in vain, or who are told that their request may have run.
    Then a request refused as "<kind>" is answered with <status>, Retry-After "<seconds>"

    Examples:
      | kind             | status | seconds |
      | unauthorized     | 401    |         |
      | caller_limit     | 429    | 0.250   |
      | lease_expired    | 503    | 0.250   |
      | no_configuration | 503    | 0.250   |
      | overloaded       | 503    | 0.250   |
      | not_serving      | 503    | 0.250   |
      | quarantined      | 503    | 0.250   |
      | not_found        | 404    |         |

  Scenario: A caller is told when its quota has a token again
    Then a request refused as "caller_limit" for 1840 ms is answered with Retry-After "1.840"
