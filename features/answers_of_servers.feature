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

  Scenario: An error in the host's own state of a request
    # Guards against a caller that waits until its deadline, or for ever, for a request that no task
    # works on any more.
    Given 2 servers of "kitchen" whose answers the request itself can't handle
    When an idempotent request and then one that must not run twice are forwarded to them
    Then both are answered as failed before their deadline, and the second ran once
    And no request counts as in flight at the servers
