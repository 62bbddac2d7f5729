Feature: The nodes keep their guarantees under a series of faults

  Scenario Outline: A seeded series of faults causes no violation
    # Hosts are killed one by one and all at once, paused, stopped by a signal and made to reload
    # their settings. Meanwhile connections to servers are delayed, reset, silent or cut in one
    # direction, and configurations change. Violations that a caller would notice: a wrong part, an
    # order that ran twice, a refusal of a request that ran, or a connection closed during its
    # request. An operator would notice an older configuration than the acknowledged one. Seeds that
    # once found a fault are kept.
    Given a platform tier of 4 hosts whose servers are reached through a faulty network
    When the faults of seed <seed> go on for <seconds> seconds
    Then no violation was found

    Examples:
      | seed | seconds | fault found                                                  |
      | 1    | 8       | none                                                         |
      | 100  | 8       | SIGHUP ended a node that was starting                        |
      | 101  | 8       | SIGTERM ended a node after its ports were open               |
      | 200  | 10      | a stopping node started an order and then cut it off         |
