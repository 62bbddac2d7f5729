Feature: Metrics page in the Prometheus format

  Scenario: Counters, gauges and histograms appear with their labels
    Given metrics of a process named "entry-1"
    When these metric updates are made
      | update  | metric                      | labels                   | value |
      | inc     | ENTRY_REQUESTS              | conflict-check, answered | 1     |
      | inc     | ENTRY_REQUESTS              | conflict-check, answered | 2     |
      | inc     | ENTRY_REQUESTS              | routine, overloaded      | 1     |
      | set     | ENTRY_SHARD_REQUESTS        |                          | 77    |
      | observe | ENTRY_DURATION              | conflict-check           | 12.5  |
      | observe | ENTRY_DURATION              | conflict-check           | 300   |
      | observe | ENTRY_DURATION              | conflict-check           | 90000 |
      | observe | ENTRY_COVERAGE              | routine                  | 0.99  |
    Then the metrics page has these samples
      | sample                                                                                                        | value  |
      | alderhatch_entry_requests_total{outcome="answered",process="entry-1",rule="conflict-check"}                    | 3      |
      | alderhatch_entry_requests_total{outcome="overloaded",process="entry-1",rule="routine"}                         | 1      |
      | alderhatch_entry_shard_requests_total{process="entry-1"}                                                       | 77     |
      | alderhatch_entry_request_duration_seconds_bucket{le="0.01",process="entry-1",rule="conflict-check"}            | 0      |
      | alderhatch_entry_request_duration_seconds_bucket{le="0.02",process="entry-1",rule="conflict-check"}            | 1      |
      | alderhatch_entry_request_duration_seconds_bucket{le="0.4",process="entry-1",rule="conflict-check"}             | 2      |
      | alderhatch_entry_request_duration_seconds_bucket{le="+Inf",process="entry-1",rule="conflict-check"}            | 3      |
      | alderhatch_entry_request_duration_seconds_count{process="entry-1",rule="conflict-check"}                       | 3      |
      | alderhatch_entry_request_duration_seconds_sum{process="entry-1",rule="conflict-check"}                         | 90.3125 |
      | alderhatch_entry_coverage_bucket{le="0.98",process="entry-1",rule="routine"}                                   | 0      |
      | alderhatch_entry_coverage_bucket{le="0.99",process="entry-1",rule="routine"}                                   | 1      |
    And the metrics page shows the CPU time and the memory of the process

  Scenario: Rendering the page twice counts nothing twice
    Given metrics of a process named "entry-1"
    When these metric updates are made
      | update  | metric         | labels  | value |
      | observe | ENTRY_DURATION | routine | 5     |
    And the metrics page is rendered once
    Then the metrics page has these samples
      | sample                                                                               | value |
      | alderhatch_entry_request_duration_seconds_count{process="entry-1",rule="routine"}    | 1     |

  Scenario: The number of label values is bounded
    # A script renames rules repeatedly. Each new name would stay in the memory of every entry and
    # of the metrics system, until the entry runs out of memory and is killed.
    Given metrics of a process named "entry-1"
    When requests of 5000 different rules are counted in the metrics
    Then the metrics page has 2001 samples of "alderhatch_entry_requests_total"
    And the metrics page has these samples
      | sample                                                                           | value |
      | alderhatch_entry_requests_total{outcome="other",process="entry-1",rule="other"}   | 3000  |

  Scenario: Values that are maintained elsewhere are read when the page is requested
    Given metrics of a process named "control-1"
    When the value of a metric source grows between two pages
    Then the second metrics page shows the newer value

  Scenario: A wrong number of labels is an error
    Given metrics of a process named "entry-1"
    Then a metric update with too few labels raises an error that names the labels
