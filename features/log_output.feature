Feature: Logs that never block, and what they tell of one request

  Scenario: A log that nobody reads stops nothing
    # Whatever collects the logs hangs. A full pipe would stop the loop at the next line, and every
    # request with it.
    Given a bounded log on a pipe that nobody reads
    When 5000 events of 200 bytes are logged
    Then logging them took no wait, and at most 262144 bytes wait in memory
    And the number of dropped lines is known
    When the pipe is read again
    Then whole lines come, oldest first, and new events come too

  Scenario: A reader that is gone for good ends nothing
    Given a bounded log on a pipe whose reader is gone
    When 10 events of 200 bytes are logged
    Then the process goes on

  Scenario: The history of a request is found in the logs of several hosts
    # A user complains about one request. On call there are only the logs.
    Given logs of two hosts in which request "r1" failed after a server had been ejected
    When the history of request "r1" is asked for
    Then it shows these lines in this order
      | host | event           |
      | h1   | leader_lost     |
      | h1   | server_belief   |
      | h1   | request_ended   |
    And its last line tells of each decision with its time

  Scenario: A request that no line names
    Given logs of two hosts in which request "r1" failed after a server had been ejected
    When the history of request "r9" is asked for
    Then it shows no line

  Scenario Outline: Lines that are no events are passed over
    Then the log line "<text>" is <read>

    Examples:
      | text                                                                                                   | read     |
      | {"time": "2026-01-01 00:00:00,000", "number": 1070, "event": "request_ended", "fields": {}}             | an event |
      | 12.5 h1 {"time": "2026-01-01 00:00:00,000", "number": 1070, "event": "request_ended", "fields": {}}     | an event |
      | {"time": "2026-01-01 00:00:00,000", "number": 1070, "event": "requ                                      | none     |
      | {"time": "yesterday", "number": 1070, "event": "request_ended"}                                         | none     |
      | a line of another program                                                                              | none     |

  Scenario: Requests that go well are sampled, those that don't are shown within a rate
    Given a request log
    When 100 requests go well in it
    Then it has written 5 lines
    When 500 requests fail in it at once
    Then it has written 60 lines more, each with the decisions and the ages of what they rest on
    And it says that 440 lines were left out

  Scenario Outline: A failed request is explained by its own line
    # The three failures that callers ask about most.
    Given a request log
    When a request fails in it because <cause>
    Then its line has the outcome "<outcome>" and a step "<step>" with why "<why>"

    Examples:
      | cause                               | outcome   | step      | why                                    |
      | every server refuses it             | refused   | fault     | shed                                   |
      | shards never answer                 | timeout   | send      |                                        |
      | the connection breaks on its way    | failed    | given_up  | it may have run, and must not run twice |

  Scenario: A gather of several hosts is explained by the lines of all that took part
    # Whoever looks for a short or late answer finds the share that lacks, and the host that lost it.
    Given the logs of a gather of which one host lost its share and another one lacked parts
    Then the history of the gather has the lines of all three hosts
