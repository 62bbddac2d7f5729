Feature: Callers are sent to hosts that can answer them in time

  Scenario Outline: Each kind of gather earns its floor while the load needs more than strong hosts
    # Guards against weak hosts that are active although their processors take longer for the parts
    # of a gather than its callers wait: every light query that is sent to one of them comes late.
    Given <hosts> hosts, <strong> of them strong, and gathers over <shards> shards
    When callers send <rate> gathers a second, a quarter of them light, for <seconds> seconds
    Then light gathers earn at least 0.39 of their credit from second 3 on
    And heavy gathers earn at least 0.39 of their credit from second 3 on

    Examples:
      | hosts | strong | shards | rate | seconds |
      | 200   | 5      | 129    | 30   | 7       |
      | 200   | 5      | 129    | 45   | 7       |
      | 90    | 6      | 135    | 45   | 7       |
      | 400   | 10     | 129    | 100  | 6       |
      | 200   | 5      | 129    | 80   | 6       |
