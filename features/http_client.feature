Feature: Connections of the HTTP client

  Scenario: A request larger than the kernel's buffers arrives complete
    # The kernel accepts only the first part of a large request at once. If the rest were omitted or
    # the request sent again from the start, the server would wait forever or read another request.
    Given a server that reads slowly and answers with the size of what it read
    When a request with a body of 32 MiB is sent to it
    Then its answer is 33554432

  Scenario: Closing a connection locally wakes the task that waits for its response
    # The entry cancels a shard request by closing its connection. If the task that waits for the
    # response were not woken, it would hold its slot forever, and no request could run once all
    # slots are held.
    Given a server that never answers
    When the connection is closed locally while an exchange is in progress on it
    Then the exchange fails as "lost" and the connection can't be used again
