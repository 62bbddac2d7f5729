Feature: Organisations on the users' platform

  Scenario: Callers with and without keys at each host
    # Guards against a key that a server, a log, a metric or a dump shows, and against callers who
    # are served without a key, or as another organisation.
    Given a platform tier that divides gathers, with the organisations "north" and "south"
    Then a caller with a key of "north" is served at each host, on each kind of route
    And more than one host asked servers for a gather of "north"
    And a caller without a key, with an unknown one and with two keys gets 401 at each host
    And a caller without a key is served on the public route of each host
    And the servers were told the organisation by the hosts alone, and never a key
    And no key is in the logs and metrics of the hosts, which count requests of "north"
    And a configuration in which two organisations share a key is refused with 400 and changes nothing

  Scenario: A key is taken away, given again and moves to another organisation
    # Guards against a host that goes on with the organisations of an older configuration.
    Given a platform tier with the organisations "north" and "south"
    When the operator takes the second key of "north" away
    Then each host soon refuses that key with 401, and serves the first key as "north"
    When the operator gives the second key of "north" to "south"
    Then each host soon serves that key as "south", and the first key as "north"
    When all hosts are killed and start again
    And every host of the platform tier becomes ready
    Then each host soon serves that key as "south", and the first key as "north"

  Scenario: Standby hosts identify callers before they hand over
    # Guards against a request whose key travels between hosts, and against a standby host that has
    # other hosts refuse its callers.
    Given a platform tier of 3 hosts with a disk and 23 without, with organisations
    Then some of its hosts are standby hosts, without a server list
    And a caller with a key of "north" is served at each host, on each kind of route
    And a caller without a key, with an unknown one and with two keys gets 401 at each host
    And the servers were told the organisation by the hosts alone, and never a key
    And no key is in the logs and metrics of the hosts, which count requests of "north"
