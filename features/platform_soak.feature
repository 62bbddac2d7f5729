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

  Scenario Outline: A seeded series of planned stops loses no request
    # Hosts are told to stop one after the other and at the same time, also the leader and all hosts
    # of a zone, beside changes of the configuration and SIGHUP. Callers keep their connections until
    # the process is gone, read slowly or nothing, and send requests ahead; some requests take longer
    # than any before. Guards against requests that a server ran and whose caller gets no whole
    # answer, refusals of requests that ran, orders that ran twice, and processes that are killed.
    When planned stops of seed <seed> go on for <seconds> seconds
    Then no violation was found

    Examples:
      | seed | seconds |
      | 1    | 12      |
      | 2    | 12      |
