Feature: How a host that is told to stop ends

  Scenario: Servers fall silent after a host was told to stop
    # Guards against requests that are passed on to a server and end by a closed connection: their
    # callers can't know whether they have run.
    Given a platform tier whose hosts have 6 s to stop, with kept connections to one of its hosts
    When that host is told to stop, its servers fall silent, and 3.5 s later the callers ask
    Then their answers, which are whole, are
      | path     | method | answer      |
      | /reads/  | GET    | 502         |
      | /orders/ | POST   | 502         |
      | /all/    | GET    | 502         |
      | /most/   | GET    | 200, part   |
    And the stopping host ends by itself in time, and logs that it cut no request

  Scenario: The disk of a host hangs while it stops
    # Guards against a process that waits for a thread that never returns, until it is killed.
    Given a platform tier whose hosts have 6 s to stop, and whose first host has a disk that can hang
    When that host is told to stop, and its disk hangs during a change
    Then the stopping host ends by itself in time
    And it logs that it did not wait for its threads

  Scenario Outline: A host ends while a request <waits>
    # Guards against a request whose connection is closed as the host ends, and against one that is
    # told that it has not run although another host may run it.
    Given a host whose next request <waits>
    When the host ends its requests
    Then that request is answered <answer>

    Examples:
      | waits                                | answer          |
      | waits for its quota                  | stopping        |
      | is handed over and not yet answered  | outcome_unknown |
      | is handed over to it, and waits      | stopping        |
      | arrives after the end                | stopping        |

  Scenario Outline: A host ends while it queries a share of another host's gather, of which <in_hand>
    # Guards against an end of the share that tells the other host that no server is left to be asked.
    Given a host that queries a share of another host's gather, of which <in_hand>
    When the host ends its shares
    Then the other host is told <told>

    Examples:
      | in_hand                  | told                   |
      | one part of three is in  | one part, refused: outcome_unknown |
      | all three parts are in   | three parts, ended     |

  Scenario: An error while the leadership is handed over
    # Guards against a stop that ends all requests at once as one of its steps fails.
    Given a host that leads and fails when it hands over the leadership
    When it hands over the leadership
    Then the error is counted and ends nothing else

  Scenario Outline: The moments of a stop of <span> ms whose loop is late by <late> ms
    # Guards against answers that are ended before the last sixth of the time, and against a process
    # that has no time left to end.
    Then a stop of <span> ms whose loop is late by <late> ms answers by <answers>, writes until <ends> and is gone by <gone>

    Examples:
      | span | late | answers | ends | gone |
      | 6000 | 0    | 5200    | 5500 | 5650 |
      | 6000 | 20   | 5120    | 5460 | 5622 |
      | 6000 | 2000 | 5000    | 5375 | 5562 |
      | 3000 | 0    | 2600    | 2750 | 2825 |

  Scenario Outline: A run ends with its host after <events>
    # Guards against an answer that promises that a request has not run, and against parts that are
    # thrown away.
    Given a run over <shards> shards that needs <coverage> of them
    When it is ended after <events>
    Then the outcome at the end is <outcome>
    And no attempt of it that still waits for a connection is sent

    Examples:
      | shards | coverage | events            | outcome             |
      | 1      | 1.0      | no event          | failed, stopping    |
      | 1      | 1.0      | a refusal by all  | not run             |
      | 2      | 0.5      | one part          | answered, 1 missing |
      | 2      | 1.0      | one part          | failed, stopping    |
