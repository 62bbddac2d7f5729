Feature: Connections are closed so that what was written arrives

  Scenario Outline: Bytes arrive behind the last request on a connection, closed after <why>
    # Guards against a reset that overtakes an answer: a socket that is closed with unread bytes
    # resets its connection, and what its client has not read yet is lost.
    Given a server that closes a connection after <why>
    When more bytes of its client arrive at the server before the client has read the answer
    Then the client gets the whole answer and the end of the stream, and no reset

    Examples:
      | why                          |
      | the client asked it to       |
      | its last answer, as it stops |

  Scenario Outline: A client sends three requests ahead, and its server begins to <what> meanwhile
    # Guards against requests that have been read and get no answer, as the answer to the one before
    # them has closed the connection.
    Given a server that begins to <what> while it answers the first request
    When a client sends three requests at once
    Then it gets <answers>, and only the last one closes the connection

    Examples:
      | what              | answers       |
      | close connections | 200, 200, 200 |
      | refuse requests   | 200, 503, 503 |

  Scenario Outline: A request crosses the close of an idle connection, <when>
    # Guards against a caller that doesn't know whether its request runs: its connection was closed
    # with the request unread, or after it had been read.
    Given a connection that is idle when its server begins to refuse
    When a request crosses its close, <when>
    Then the client of the crossing request gets <result>, and no reset

    Examples:
      | when                        | result                                 |
      | sent before that is noticed | a whole 503 that closes the connection |
      | sent after it               | the end of the stream                  |

  Scenario: A request crosses the end of a server
    # Guards against a reset at the end of a process, whose tasks are cancelled, while its last answer
    # is being read.
    Given a connection that is idle when its server begins to refuse
    When the server ends 400 ms after its tasks are cancelled, and its client reads on
    Then the client gets the whole answer and the end of the stream, and no reset

  Scenario Outline: A client that sends a request and <ends>, which takes <takes>
    # Guards against a client that is taken for gone although it waits for its answer.
    Given a server whose handler takes <takes> for a request
    When its client sends one and <ends>
    Then the half-closed client gets <result>

    Examples:
      | takes | ends                                 | result                                 |
      | 50 ms | closes its sending half              | the whole answer                       |
      | 50 ms | closes its sending half once it runs | the whole answer                       |
      | 5 s   | closes its sending half              | a whole answer that it may have run    |
      | 5 s   | closes its sending half once it runs | a whole answer that it may have run    |

  Scenario Outline: A request is ended when its client <ends>
    # Guards against servers that work for clients that have left.
    Given a server whose handler takes 5 s for a request
    When its client sends one and <ends>
    Then the server works on it for no longer than <limit> ms after that

    Examples:
      | ends                                 | limit |
      | closes its sending half once it runs | 500   |
      | closes its connection once it runs   | 500   |
      | resets its connection once it runs   | 100   |

  Scenario Outline: A client that <ends> is found when a host wakes after <frozen> ms
    # Guards against a host that was frozen and, when it wakes, sends the requests of callers that
    # have long given up to servers, which such a request may even crash.
    Given a client that sends a request and <ends> while its host is frozen for <frozen> ms
    When the host goes on
    Then the request reaches no handler, and another client of the host is served

    Examples:
      | ends                    | frozen |
      | closes its connection   | 300    |
      | closes its sending half | 300    |
      | resets its connection   | 0      |
      | resets its connection   | 300    |
