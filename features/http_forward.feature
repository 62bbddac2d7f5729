Feature: Forwarding of unchanged requests over real connections

  Scenario Outline: Only complete and matching answers are accepted
    # A faulty server truncates an answer, sends bytes that are not HTTP, or repeats an earlier
    # answer in place of the next one. Without these checks a caller would receive a partial answer
    # or that of another caller.
    Given a server that sends <bytes>
    When a request is forwarded to it
    Then the forwarded request ends as <result>

    Examples:
      | bytes                                    | result            |
      | a complete answer                        | the answer "own"  |
      | a chunked answer                         | the answer "own"  |
      | an answer without a length               | the answer "own"  |
      | an answer to an earlier request first    | the answer "own"  |
      | two answers to earlier requests first    | the answer "own"  |
      | only an answer to an earlier request     | the fault silent  |
      | a truncated answer                       | the fault lost    |
      | a truncated chunk                        | the fault lost    |
      | an answer without a length, then a reset | the fault lost    |
      | nothing, then closes                     | the fault lost    |
      | bytes that are not HTTP                  | the fault garbage |

  Scenario: Bytes after an answer are never read as the answer to the next request
    # A faulty server sends a second answer after the first one on the same connection.
    Given a server that sends an answer followed by another one
    When a request is forwarded to it
    Then the forwarded request ends as the answer "own"
    And the connection can't carry another request

  Scenario: A connection is not reused after an early answer to a long request
    # The server answers after the head and continues to read. It would read the next request on the
    # connection as the rest of the old body.
    Given a server that answers before it has read the body
    When a request with a body of 4 MiB is forwarded to it
    Then the forwarded request ends as the answer "own"
    And the connection can't carry another request

  Scenario: Method, target, header fields and body arrive unchanged
    Given a server that records the request and answers
    When a PUT of "/a%20b?x=1&x=2" with the body "towels" and two fields "X-A" is forwarded to it
    Then the server received exactly that

  Scenario: The server detects reused connections and measures their round trip
    Given a node's server on loopback
    When a client sends two requests on one connection
    Then the second request is marked as on a used connection, and its round trip is below 1000 ms

  Scenario: A request that arrives while the node is stopping is not started
    # A stopping node waits until no request is in progress and then cancels its tasks. A request
    # may arrive on a persistent connection between the two. If it were forwarded to a server and
    # then cancelled, the caller could not know whether its order ran.
    Given a node's server on loopback
    When the node is stopping and a client sends a request on a persistent connection
    Then it gets a whole 503, the connection is closed and the request is not started
