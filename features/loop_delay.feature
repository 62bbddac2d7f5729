Feature: The time that requests wait unread while the event loop is busy

  Scenario Outline: What a poll of the loop tells about the events that it found
    # Guards against answers that leave late because their requests were read late.
    Given a loop that handles the events of these polls, busy for <busy> ms after each of the first two
    When its third poll takes <third> ms
    Then data that is read <after> ms later may have waited <used> ms on a used connection
    And it may have waited <new> ms on a new connection

    Examples:
      | busy | third | after | used | new  |
      | 30   | 0     | 0     | 30   | 60   |
      | 30   | 0     | 5     | 35   | 65   |
      | 30   | 500   | 0     | 0    | 0    |
      | 0    | 500   | 3     | 3    | 3    |

  Scenario: A loop that has not polled yet
    Given a loop that has not polled yet
    Then the time that data may have waited is unknown

  Scenario: A request that arrives while the loop is busy
    # Guards against a wait that no clock of the request's task shows.
    Given a server whose loop is busy for 40 ms at a time
    When a client sends two requests over one connection
    Then each request may have waited at least 40 ms
