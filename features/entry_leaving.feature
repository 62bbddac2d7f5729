Feature: A leaving upstream server gets no new work

  Scenario Outline: A server leaves while queries run, and <source> is the first to say so
    # A host is emptied for repair. Whoever learns of it first, no query may be handed to it from
    # then on; what it still runs it may finish. A query that went there later would be cut off when
    # the host goes, and its caller would see an index missing.
    Given a platform for the entry
    And an upstream for the entry of 3 shards with 2 servers each
    And 3 control hosts and 2 entries that hold a lease
    And callers use the entries that hold a lease without pause
    When <source> says that the upstream's server "navigator-01-0" is leaving
    Then soon the upstream's server "navigator-01-0" gets no new work from any entry
    And the callers that used the entries meanwhile had only right answers

    Examples:
      | source                |
      | the platform          |
      | an operator           |
      | its health endpoint   |
      | its answer to a query |
