Feature: Logs that never block, and the history of one request

  Scenario: A log that is not read does not block the process
    # The log collector hangs. A blocking write to the full pipe would stop the event loop and
    # with it every request.
    Given a bounded log on a pipe that is not read
    When 5000 events of 200 bytes are logged
    Then logging did not block and at most 262144 bytes are buffered
    And the number of dropped lines is known
    When the pipe is read again
    Then complete lines are read, oldest first, followed by new events

  Scenario: A closed reader does not stop the process
    Given a bounded log on a pipe whose reader has closed
    When 10 events of 200 bytes are logged
    Then the process continues

  Scenario: The history of a request is found in the logs of several hosts
    # The operator on call has only the logs to explain why one request failed.
    Given logs of two hosts in which request "r1" failed after a server had been ejected
    When the history of request "r1" is asked for
    Then the history has these lines in this order
      | host | event         |
      | h1   | leader_lost   |
      | h1   | server_belief |
      | h1   | request_ended |
    And its last line shows each decision with its time

  Scenario: A request that is not in the logs
    Given logs of two hosts in which request "r1" failed after a server had been ejected
    When the history of request "r9" is asked for
    Then the history is empty

  Scenario Outline: Lines that are not events are ignored
    Then the log line "<text>" is parsed as <result>

    Examples:
      | text                                                                                                | result   |
      | {"time": "2026-01-01 00:00:00,000", "number": 1070, "event": "request_ended", "fields": {}}         | an event |
      | 12.5 h1 {"time": "2026-01-01 00:00:00,000", "number": 1070, "event": "request_ended", "fields": {}} | an event |
      | {"time": "2026-01-01 00:00:00,000", "number": 1070, "event": "requ                                  | none     |
      | {"time": "yesterday", "number": 1070, "event": "request_ended"}                                     | none     |
      | a line of another program                                                                           | none     |

  Scenario: Successful requests are sampled, failed ones are logged up to a rate limit
    Given a request log
    When 100 requests succeed
    Then the request log has 5 lines
    When 500 requests fail at once
    Then the request log has 60 more lines with the decisions and the ages of their inputs
    And the request log reports 440 omitted lines

  Scenario Outline: A failed request is explained by its own line
    # The failures that callers ask about most often.
    Given a request log
    When a request fails because <cause>
    Then its line has the outcome "<outcome>" and a step "<step>" with why "<why>"

    Examples:
      | cause                            | outcome | step     | why                                     |
      | every server rejects it          | refused | fault    | shed                                    |
      | shards never respond             | timeout | send     |                                         |
      | the connection breaks in transit | failed  | given_up | it may have run, and must not run twice |

  Scenario: A gather of several hosts is explained by the lines of all hosts involved
    # The logs must show which share of an incomplete or late answer is missing and which host lost
    # it.
    Given the logs of a gather in which one host lost its share and another one lacked parts
    Then the history of the gather has the lines of all three hosts
