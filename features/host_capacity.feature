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

  Scenario Outline: The host that runs a gather
    # Guards against light queries that are late while fast hosts have time for them.
    Given an active host with <own> cores beside active hosts with 1.4 and 0.5 cores
    When it receives a gather over <shards> shards whose target latency is <target> ms
    Then <runs> runs it

    Examples:
      | own | shards | target | runs          |
      | 0.5 | 129    | 70     | a faster host |
      | 0.5 | 129    | 147    | it            |
      | 0.5 | 20     | 70     | it            |
      | 1.4 | 129    | 70     | it            |
      | 1.4 | 300    | 70     | it            |

  Scenario Outline: A host that callers are no longer sent to
    # Guards against callers that still use an old address and get each answer late.
    Given a standby host with <own> cores beside active hosts with 1.4 and 0.5 cores
    When it receives a gather over <shards> shards whose target latency is <target> ms
    Then <runs> runs it

    Examples:
      | own | shards | target | runs          |
      | 0.5 | 129    | 147    | a faster host |
      | 0.5 | 20     | 147    | it            |
      | 1.4 | 129    | 147    | it            |

  Scenario Outline: A gather that a slow host hands over
    # Guards against a gather that runs at two hosts, and against one that is refused although the
    # slow host could have run it.
    Given a slow active host that hands a gather over
    When the faster hosts <what>
    Then its caller gets "<outcome>", and the slow host has run it <times> times

    Examples:
      | what                                 | outcome         | times |
      | answer it                            | their answer    | 0     |
      | can't be reached                     | its own answer  | 1     |
      | are stopping                         | its own answer  | 1     |
      | lack the configuration version       | its own answer  | 1     |
      | are lost while they have the request | outcome_unknown | 0     |
      | are overloaded                       | overloaded      | 0     |

  Scenario: A gather that was handed over is not handed over again
    # Guards against two slow hosts that hand a request back and forth.
    Given a slow active host that hands a gather over
    When another host has handed the gather over to it
    Then its caller gets "its own answer", and the slow host has run it 1 times
