Feature: An error that nobody expects ends only what it happened in

  Scenario: A response that nobody expects
    # Guards against one client's connection that ends the listener, and with it the process.
    Given a handler whose response raises an error when it is written
    When a client sends a request
    Then its connection is closed, another client is answered, and the error is counted

  Scenario: A connection to one server raises an error while it is opened
    # Guards against one server's entry that ends the pool, and with it the process.
    Given a pool of two servers, and an error when the first is connected to
    When a connection to each is awaited
    Then the first counts as unreachable, the second is connected to, and the error is counted

  Scenario: Text that is no address is connected to
    # Guards against a caller of the client that has to know each error of the system's functions.
    When a connection to text that is no address is opened
    Then it has failed as one to which nothing was sent

  Scenario: An answer to a shard request raises an error
    # Guards against a query that waits until its deadline, and an answer on a connection that nobody
    # understands.
    Given a server of a shard whose answer raises an error in the entry
    When a shard request is sent to it
    Then the attempt has failed, its connection is given up, and the error is counted

  Scenario Outline: A link <ends>
    # Guards against a peer's link that ends the process, and against links that close as usual and
    # count as faults.
    Given a port for links whose handler <ends> for one peer
    When that peer and another one open links
    Then the other one is answered, and <count> errors are counted

    Examples:
      | ends                                        | count |
      | raises an error                             | 1     |
      | closes                                      | 0     |
      | closes in a nursery                         | 0     |
      | closes in a nursery and raises an error     | 1     |

  Scenario: A read of the server list raises an error
    # Guards against one page that ends the leader's process.
    Given a server list of which the first read raises an error
    When the leader reads it
    Then it has the servers of the second read, and the error is counted

  Scenario: A host in the view has text for an address
    # Guards against a view of the leader that ends the process of a host that probes the others.
    Given a view of two hosts, one of which has text for an address
    When each of them is probed
    Then the one is not reached, and the other is
