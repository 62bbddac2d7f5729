Feature: What another writer puts into the server list affects its own entry alone

  Scenario: A server whose address can't be connected to
    # Guards against one address that ends the processes of all hosts, as each host connects to every
    # listed server.
    Given a server, and another one of the same upstream whose address is no address
    When 6 requests are forwarded to that upstream
    Then all of them are answered by the server

  Scenario: Any bytes as a list
    # Guards against a list that ends the process instead of being read again later.
    Then any bytes as a list are read, or reported as an unreadable list
