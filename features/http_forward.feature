Feature: Requests that are passed on as they are, over real connections

  Scenario Outline: Answers of servers are taken whole, or not at all
    # A faulty server cuts an answer short, sends bytes that are none, or repeats an earlier answer
    # where the next one is due. Passed on, a caller would have half an answer or somebody else's.
    Given a server that sends <bytes>
    When a request is forwarded to it
    Then the forwarded request ends as <result>

    Examples:
      | bytes                                   | result               |
      | a whole answer                          | the answer "own"     |
      | an answer in chunks                     | the answer "own"     |
      | an answer without a length              | the answer "own"     |
      | an answer to an earlier request first   | the answer "own"     |
      | two answers to earlier requests first   | the answer "own"     |
      | only an answer to an earlier request    | the fault silent     |
      | half an answer                          | the fault lost       |
      | half a chunk                            | the fault lost       |
      | an answer without a length, then resets | the fault lost       |
      | nothing and closes                      | the fault lost       |
      | bytes that are no answer                | the fault garbage    |

  Scenario: Bytes behind an answer never reach the next request
    # A second answer follows the first one on its connection.
    Given a server that sends an answer and another one behind it
    When a request is forwarded to it
    Then the forwarded request ends as the answer "own"
    And the connection carries no other request

  Scenario: A server that answers a long request early is not sent the rest as a new request
    # It answers after the head and goes on reading. Whatever came next on the connection would be
    # read as the rest of the old body.
    Given a server that answers before it has read the body
    When a request with a body of 4 MiB is forwarded to it
    Then the forwarded request ends as the answer "own"
    And the connection carries no other request

  Scenario: Method, target, fields and body arrive unchanged
    Given a server that answers with what it got
    When a PUT of "/a%20b?x=1&x=2" with the body "towels" and two fields "X-A" is forwarded to it
    Then the server got exactly that

  Scenario: The kernel tells how far a client is
    Given a node's server on loopback
    When a client sends two requests on one connection
    Then the second one is known to come on a used connection, and the round trip is below 1000 ms

  Scenario: A request that arrives as the node ends is not begun
    # A node that was told to stop has waited until nothing ran. In the moment until all its tasks
    # are cancelled a request arrives on a kept connection. Sent on to a server and cut off there,
    # an order would be lost: its caller can't know whether it ran.
    Given a node's server on loopback
    When the node ends, and a client sends a request on a connection that it has kept
    Then the connection is closed and the request was not begun
