Feature: The HTTP client's connections

  Scenario: A request larger than the kernel's buffers arrives whole
    # The kernel takes only the first part of a large request at once. If the rest were left out, or
    # sent again from the start, the server would wait for ever or read another request.
    Given a server that reads slowly and answers with the size of what it read
    When a request with a body of 32 MiB is sent to it
    Then its answer is 33554432

  Scenario: A connection closed at this end wakes whoever waits for its answer
    # The entry cancels a shard request by closing its connection. If the one that waits for the
    # answer were not told, it would hold its place for ever, and no request would get through once
    # all places are held.
    Given a server that never answers
    When the connection is closed while an exchange waits on it
    Then the exchange fails as "lost" and the connection can't be used again
