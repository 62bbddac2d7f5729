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

  Scenario Outline: <what> is connected to
    # Guards against a caller of the client that has to know each error of the system's functions.
    When a connection to <what> is opened
    Then it has failed as one to which nothing was sent

    Examples:
      | what                      |
      | text that is no address   |
      | an address of 300 letters |
      | an address with a NUL     |
      | a port of 70000           |
      | a negative port           |
      | a port of 30 digits       |

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

  Scenario: A probe of another host raises an error that is none of a connection
    # Guards against a view of the leader that ends the process of a host that probes the others.
    Given a view of two hosts, and an error of another kind when the one is probed
    When each of them is probed
    Then the one is not reached, the other is, and the error is counted

  Scenario: A background task raises an error
    # Guards against a mistake in a task that runs as long as the process, and ends it.
    Given a background task that raises an error twice
    When it is kept running
    Then it runs a third time, and the errors are counted

  Scenario: The connections of one server can't be looked after
    # Guards against one server's connections that end the pool, and with it the process, or keep
    # those of all servers after it from being looked after.
    Given a pool of a server whose connections raise an error in each sweep
    When a connection to another server is awaited some sweeps later
    Then that one is connected to and looked after, and the errors are counted

  Scenario Outline: The settings file holds <what> while a node runs
    # Guards against a file that is being written, or is damaged, and ends the process.
    Given a node whose settings file holds <what>
    When the node reads its settings again
    Then its seeds stay as they were, and why is logged

    Examples:
      | what                  |
      | bytes that aren't text |
      | no line               |
      | a port of 400 digits  |
      | nothing that is there |

  Scenario Outline: A link to another member of the log <ends>
    # Guards against one peer that ends the replicated log of a host, and with it the process.
    Given a member of the log whose link to a peer <ends>
    When the member maintains its links
    Then it goes on to dial that peer

    Examples:
      | ends                         |
      | raises an error              |
      | can't be opened to its port  |

  Scenario Outline: The decoding of <what> raises an error that the library doesn't declare
    # Guards against lists of a library's errors, which are never whole.
    Given a library that raises such an error for any bytes
    When <what> is decoded
    Then it counts as invalid, and no other error is raised

    Examples:
      | what                         |
      | a message of another process |
      | records of the journal       |
      | the head of a file           |
      | a kept outcome               |
