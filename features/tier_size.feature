Feature: The leader's messages do not grow with the square of the number of hosts

  Scenario Outline: Many hosts join together
    # Guards against a start of hundreds of hosts in which each is sent all others on each change.
    Given a leader with <hosts> hosts
    When all of them join within 1000 ms, and serve callers from then on
    And 10 seconds pass
    Then every host was sent at most 16 KB
    And every host advertises the same hosts to callers

    Examples:
      | hosts |
      | 11    |
      | 30    |
      | 100   |
      | 200   |
      | 400   |

  Scenario Outline: A change is encoded once for all hosts
    # Guards against a leader that is busy encoding updates while its callers wait.
    Given a leader with <hosts> hosts
    When all of them join within 1000 ms, and serve callers from then on
    And the list of 800 servers changes 5 times, 900 ms apart
    Then the leader has encoded at most <messages> update messages

    Examples:
      | hosts | messages |
      | 11    | 60       |
      | 400   | 60       |

  Scenario: A leader that stalled keeps its hosts
    # Guards against a leader that drops all hosts because it was too busy to read their reports.
    Given a leader with 50 hosts
    When all of them join within 1000 ms, and serve callers from then on
    And the leader's process stalls for 3000 ms
    And 2 seconds pass
    Then 50 hosts follow the leader

  Scenario: A silent host is dropped
    # Guards against callers that are sent to a host that has stopped responding.
    Given a leader with 50 hosts
    When all of them join within 1000 ms, and serve callers from then on
    And host 3 sends no more reports
    And 3 seconds pass
    Then 49 hosts follow the leader
    And host 3 is not advertised to callers

  Scenario: A new leader waits for the hosts of the last one
    # Guards against sending all callers to the few hosts that were first to find a new leader.
    Given a leader with 30 hosts, which followed another leader until now
    When all of them join within 400 ms, and serve callers from then on
    And 5 seconds pass
    Then no host was sent a view of fewer than 16 hosts

  Scenario: A new leader does not wait for lost hosts
    # Guards against sending callers to hosts that were lost together with the last leader.
    Given a leader with 10 hosts, which followed another leader with 20 more until now
    When all of them join within 400 ms, and serve callers from then on
    And 1 second passes
    Then every host was sent a view of 10 hosts

  Scenario Outline: A host backs off while most hosts do not answer
    # Guards against hundreds of hosts that keep the hosts they query too busy to answer.
    Given a host that searches for the leader among 4 hosts
    When <unanswered> of them don't answer in <rounds> rounds
    Then its backoff factor is <backoff_factor>
    And after a round in which all answer its backoff factor is 1 again

    Examples:
      | unanswered | rounds | backoff_factor |
      | 1          | 5      | 1              |
      | 2          | 5      | 1              |
      | 4          | 1      | 2              |
      | 4          | 2      | 4              |
      | 3          | 9      | 8              |
