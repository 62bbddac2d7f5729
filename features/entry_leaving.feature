Feature: A leaving upstream server gets no new requests

  Scenario Outline: A server leaves while queries run, first reported by <source>
    # A host is drained for repair. From the first report on, no query may be sent to it; running
    # queries may complete. A query sent later would be aborted when the host stops, and its answer
    # would lack a part of the index.
    Given a platform for the entry
    And an upstream for the entry of 3 shards with 2 servers each
    And 3 control hosts and 2 entries that hold a lease
    And callers use the entries that hold a lease without pause
    When <source> reports that the upstream's server "navigator-01-0" is leaving
    Then soon the upstream's server "navigator-01-0" gets no new requests from any entry
    And the callers that used the entries meanwhile got only correct answers

    Examples:
      | source                |
      | the platform          |
      | an operator           |
      | its health endpoint   |
      | its answer to a query |
