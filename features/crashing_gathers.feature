Feature: Gathers that crash the servers of all shards

  Scenario Outline: A gather that crashes its servers takes the index from nobody
    # A caller sends a gather that crashes each server which runs it, once a second, to one host
    # after another. Each wave takes a server of every shard, and harmless gathers get no answers.
    Given 4 hosts before 16 shards of 2 servers that a certain gather crashes
    When that gather is sent each second for 22 s among harmless ones, and <event>
    Then at most 40 servers have crashed, and the gather reached at most 3 servers late
    And over 0.95 of the harmless gathers of the last 6 s are served

    Examples:
      | event                             |
      | nothing else happens              |
      | the leader is killed at 8 s       |
      | all hosts are restarted at 8 s    |
