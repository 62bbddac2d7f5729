Feature: Entry addresses that are advertised to callers

  Scenario Outline: <case>
    Given the entries' roster "<roster>"
    When a caller in zone "<zone>" requests the entries' addresses
    Then the caller receives the entries "<answer>" for 200 ms

    Examples:
      | case                               | roster                        | zone | answer           |
      | the caller's own zone is preferred | 1:waco 2:austin 3:waco        | waco | 1:100 3:100 2:10 |
      | the caller's zone is unknown       | 1:waco 2:austin               |      | 1:100 2:100      |
      | the caller's zone has no entry     | 1:waco 2:austin               | oslo | 1:100 2:100      |
      | a leaving entry is omitted         | 1:waco:leaving 2:austin       | waco | 2:100            |
      | all entries are leaving            | 1:waco:leaving 2:waco:leaving | waco | 1:100 2:100      |

  Scenario: The platform reports that an entry's host is leaving
    # The platform removes the host within minutes. A caller that still received its address would
    # cache it and send requests to a host that has gone.
    Given a platform for the entry
    And an upstream for the entry of 2 shards with 1 server each
    And 2 entries run
    When the platform lists entry 2 as leaving
    Then soon entry 1 advertises only entry 1 to callers

  Scenario: The platform's list becomes unreadable
    # The platform's service fails. The last list that was read remains valid: a leaving host has
    # not returned because the service failed.
    Given a platform for the entry
    And an upstream for the entry of 2 shards with 1 server each
    And 2 entries run
    When the platform lists entry 2 as leaving
    And soon entry 1 advertises only entry 1 to callers
    And the platform's list becomes unreadable and is requested 3 times
    Then soon entry 1 advertises only entry 1 to callers
