Feature: Hosts before servers whose answers have no end

  Scenario: Servers of some services answer without end
    # Guards against callers that get no true answer, and against hosts that read on, hold what they
    # read, or do little else.
    Given 3 hosts before services whose servers answer without end
      | kind                    | pace           | answer |
      | a status line           | at full speed  | 502    |
      | a header line           | at full speed  | 502    |
      | header lines            | at full speed  | 502    |
      | 1xx answers             | at full speed  | 502    |
      | 1xx answers with fields | at full speed  | 502    |
      | a body of 1 TB          | at full speed  | 502    |
      | a body to the close     | at full speed  | 502    |
      | chunks                  | at full speed  | 502    |
      | tiny chunks             | at full speed  | 502    |
      | a chunk of 1 TB         | at full speed  | 502    |
      | a chunk-size line       | at full speed  | 502    |
      | a chunk extension       | at full speed  | 502    |
      | chunk extensions        | at full speed  | 502    |
      | trailers                | at full speed  | 502    |
      | noise                   | at full speed  | 502    |
      | a body of 1 TB          | piece by piece | 502    |
      | noise                   | piece by piece | 502    |
      | header lines            | piece by piece | 504    |
      | 1xx answers             | piece by piece | 502    |
      | a body to the close     | piece by piece | 504    |
      | tiny chunks             | piece by piece | 504    |
    When each service is asked, beside requests to a sound service
    Then services without a sound server answer as listed, 502 before the deadline
    And services with a sound server beside it answer with 200
    And all requests to the sound service were answered with 200
    And the hosts have closed all connections of the endless servers
    And no host needed more than 200 MB or logged a fault of a task

  Scenario Outline: <servers> of each of 20 shards answer with <kind> without end
    # Guards against a gather that holds twenty endless bodies, and against hosts that serve nothing
    # else meanwhile.
    Given 3 hosts before 20 shards, <servers> of each answer with <kind> without end
    When 12 gathers with <ms> ms are sent, beside requests to a sound service
    Then the gathers are answered with <answers>, before their deadline or at it
    And all requests to the sound service were answered with 200
    And the hosts have closed all connections of the endless servers
    And no host needed more than 200 MB or logged a fault of a task

    Examples:
      | servers       | kind                | ms   | answers       |
      | one server    | a body to the close | 7000 | 200           |
      | both servers  | a body to the close | 2500 | 502, 503, 504 |
      | both servers  | tiny chunks         | 2500 | 502, 503, 504 |
