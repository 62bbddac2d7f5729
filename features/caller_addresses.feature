Feature: Which of the entries' addresses callers use

  Scenario Outline: <case>
    Given the entries' roster "<roster>"
    When a caller in zone "<zone>" asks for the entries' addresses
    Then the caller is told of the entries "<answer>" for 200 ms

    Examples:
      | case                                    | roster                        | zone | answer          |
      | its own zone comes first                | 1:waco 2:austin 3:waco        | waco | 1:100 3:100 2:10 |
      | no zone is named                        | 1:waco 2:austin               |      | 1:100 2:100     |
      | its zone has no entry                   | 1:waco 2:austin               | oslo | 1:100 2:100     |
      | a leaving entry is left out             | 1:waco:leaving 2:austin       | waco | 2:100           |
      | all are leaving, and there is no other  | 1:waco:leaving 2:waco:leaving | waco | 1:100 2:100     |

  Scenario: The platform says that an entry's host is leaving
    # The platform takes a host away within minutes. Its list lags, but a caller that is told of the
    # host meanwhile would keep the answer and run into the loss.
    Given a platform for the entry
    And an upstream for the entry of 2 shards with 1 server each
    And 2 entries run
    When the platform lists entry 2 as leaving
    Then soon entry 1 tells callers only of entry 1

  Scenario: The platform's list can't be read any more
    # The platform's own service has a fault. What it said last still holds, since a host that was
    # leaving is not back because of that.
    Given a platform for the entry
    And an upstream for the entry of 2 shards with 1 server each
    And 2 entries run
    When the platform lists entry 2 as leaving
    And soon entry 1 tells callers only of entry 1
    And the platform's list breaks and is read 3 times
    Then soon entry 1 tells callers only of entry 1
