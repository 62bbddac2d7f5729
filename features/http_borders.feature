Feature: What one client sends ends at most its own connection

  Scenario Outline: A client sends <request>, and others go on
    # Guards against one request that ends the listener, and with it the process and everything that
    # it has passed on to servers.
    Given a server for clients whose handler answers with <answer>
    When <request> comes from a client
    Then it is answered with <status> and <length> bytes
    And another client is answered

    Examples:
      | request          | answer                     | status | length |
      | a HEAD request   | 404 and a body             | 404    | 0      |
      | a HEAD request   | an internal error          | 500    | 0      |
      | a GET request    | an unreadable field        | 500    | some   |
      | a HEAD request   | an unreadable field        | 500    | 0      |
      | a GET request    | a field that isn't ASCII   | 500    | some   |
      | a GET request    | 304 and a body             | 304    | 0      |
      | a CONNECT        | 200 and a body             | 400    | some   |
      | two HEAD at once | 404 and a body             | 404    | 0      |
      | a HEAD too large | 404 and a body             | 413    | 0      |

  Scenario: Requests that are sent ahead, cut anywhere
    # Guards against the second half of a request that is read after what was sent later, so that a
    # request is refused, or runs with bytes of another one.
    Then any requests, sent ahead in any pieces while others run, are answered in their order

  Scenario: Any bytes of a client and any answer to it
    # Guards against the same in a form that no example has.
    Then no bytes of a client and no answer of the handler keep another client from its answer
