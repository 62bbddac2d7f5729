Feature: What one server answers affects at most the request that it answers

  Scenario Outline: A server <leaves> while a request waits for a connection to it
    # Guards against requests that reach a server long after the list has named it as leaving.
    Given 2 servers of "kitchen", of which the chosen one <leaves> during that wait
    When an idempotent request and then one that must not run twice are forwarded to them
    Then the leaving server got no request, and both were answered by the other one

    Examples:
      | leaves              |
      | begins to drain     |
      | is no longer listed |
      | is evacuated        |

  Scenario: An answer that the host can't handle
    # Guards against one answer that ends the host's process with all that it has in progress.
    Given 2 servers of "kitchen" whose answers raise an error in the host
    When an idempotent request and then one that must not run twice are forwarded to them
    Then both are answered as failed before their deadline, and the second ran once

  Scenario: An answer of one server that the host can't handle
    # Guards against a request that fails although another server can answer it.
    Given 2 servers of "kitchen", and the answers of the first raise an error in the host
    When 4 idempotent requests are forwarded to them
    Then all of them are answered by the second one

  Scenario Outline: A server answers <status> without saying that the request has not run
    # Guards against a caller that is told so, and sends an order once more that has run.
    Given 2 servers of "kitchen" that run each request and answer it with <status>
    When an idempotent request and then one that must not run twice are forwarded to them
    Then their callers get 502 without a signature, and the second ran once

    Examples:
      | status |
      | 503    |
      | 429    |
      | 408    |

  Scenario Outline: A server of a shard answers a gather with <answer>
    # Guards against a merged answer that has a server's failure, or another's answer, as a part.
    Given 8 shards, one of which answers with <answer>
    When a gather with a minimum coverage of 0.8 is forwarded to them
    Then the merged answer names the signatures of the other 7

    Examples:
      | answer                      |
      | 404 and a signature         |
      | 302 and a signature         |
      | 429 and a signature         |
      | a blank signature           |
      | two signatures              |
      | no ID                       |
      | the ID of another request   |
      | two IDs                     |
      | a signature and no success  |

  Scenario: An error in the host's own state of a request
    # Guards against a caller that waits until its deadline, or for ever, for a request that no task
    # works on any more.
    Given 2 servers of "kitchen" whose answers the request itself can't handle
    When an idempotent request and then one that must not run twice are forwarded to them
    Then both are answered as failed before their deadline, and the second ran once
    And no request counts as in flight at the servers
