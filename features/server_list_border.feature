Feature: What another writer puts into the server list affects its own entry alone

  Scenario: A server whose address can't be connected to
    # Guards against one address that ends the processes of all hosts, as each host connects to every
    # listed server.
    Given a server, and another one of the same upstream whose address is no address
    When 6 requests are forwarded to that upstream
    Then all of them are answered by the server

  Scenario Outline: The servers of the other entries are read from a list with <what>
    # Guards against a list that is refused as a whole for one entry: hosts would go on sending to
    # servers that the list names as leaving.
    Given a list of a draining server and an entry with <what>
    When the list is read over HTTP
    Then the server is read as draining, and the entry is left out

    Examples:
      | what                    |
      | bytes that aren't UTF-8 |
      | a lone surrogate        |
      | a control character     |
      | a number of 400 digits  |
      | a number of 5000 digits |
      | NaN as slots            |
      | an infinite warm-up     |
      | a list nested 3000 deep |

  Scenario Outline: A server that says that it is cold for <span>
    # Guards against a sound server that is left out, or is taken for cold for ever.
    Given a list of a server that says that it is cold for <span>
    When the list is read over HTTP
    Then the server is read as one that isn't cold

    Examples:
      | span             |
      | a year           |
      | an infinite time |
      | less than no time |

  Scenario: Any entries beside a server's
    # Guards against the same in a form that no example has.
    Then no entries of another writer keep a server from being read, and what is read can be used

  Scenario: Any bytes as a list
    # Guards against a list that ends the process instead of being read again later.
    Then any bytes as a list are read, or reported as an unreadable list
