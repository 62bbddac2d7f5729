Feature: Bodies that have arrived in part, from all servers

  Scenario: Bodies without end from many servers at once
    # Guards against a host that holds, for each server, as much as one answer may have: with twenty
    # servers in a gather and some gathers at once, that is more than a host has.
    Given 40 servers that answer with a body to the close without end, at full speed
    When a request is sent to each of them, with a limit of 20 MB for all bodies together
    Then the bodies that arrived never held more than that, and all requests have failed
    And a sound answer of 100 kB that arrived meanwhile was not given up

  Scenario: Twenty sound servers answer with 4 MB at once
    # Guards against a limit for endless bodies that takes sound answers for them.
    Given 20 servers that answer with a sound body of 4 MB
    When a request is sent to each of them, with a limit of 32 MB for all bodies together
    Then all bodies arrive whole, and never held more than that
