Feature: Active hosts, which callers are sent to

  Scenario Outline: The strongest hosts, and no more than are needed
    # Guards against sending callers to all hosts alike. A query over a hundred shards takes a host
    # with half a core longer than its callers wait. With many active hosts, each contacts a server
    # so rarely that its connection has timed out, and queries are late although every server is
    # idle.
    Given <strong> hosts with <cores> cores and <weak> with <fewer> cores in <zones> availability zones
    When servers accept <connections> connections and <needed> cores are needed
    Then callers are sent to <chosen_strong> strong and <chosen_weak> weak hosts
    And the numbers of strong hosts in two availability zones differ by at most one

    Examples:
      | strong | cores | weak | fewer | zones | connections | needed | chosen_strong | chosen_weak |
      | 6      | 1.4   | 83   | 0.5   | 3     | 59          | 4      | 6             | 0           |
      | 5      | 1.4   | 64   | 0.5   | 5     | 50          | 4      | 5             | 0           |
      | 3      | 2.0   | 8    | 1.1   | 3     | 25          | 2      | 3             | 1           |
      | 6      | 1.4   | 83   | 0.5   | 3     | 59          | 10     | 6             | 4           |
      | 100    | 1.0   | 0    | 0.5   | 3     | 59          | 2      | 14            | 0           |
      | 100    | 1.0   | 0    | 0.5   | 3     | 59          | 20     | 20            | 0           |
      | 2      | 1.0   | 0    | 0.5   | 1     | 25          | 9      | 2             | 0           |
      | 0      | 1.0   | 0    | 0.5   | 1     | 25          | 0      | 0             | 0           |

  Scenario Outline: Hosts too slow for a gather are active only while the others are saturated
    # Guards against a kind of query that is late at most of the hosts that callers are sent to.
    Given <strong> hosts with 1.4 cores and <weak> with 0.5 cores in 5 availability zones
    And gathers over <shards> shards whose target latency is <target> ms
    When servers accept 122 connections and <needed> cores are needed
    Then callers are sent to <chosen_strong> strong and <chosen_weak> weak hosts

    Examples:
      | strong | weak | shards | target | needed | chosen_strong | chosen_weak |
      | 5      | 195  | 129    | 70     | 10     | 5             | 0           |
      | 5      | 195  | 129    | 147    | 10     | 5             | 0           |
      | 5      | 195  | 129    | 70     | 20     | 5             | 0           |
      | 5      | 195  | 129    | 70     | 21     | 5             | 28          |
      | 5      | 195  | 20     | 147    | 10     | 5             | 6           |
      | 2      | 195  | 129    | 70     | 1      | 2             | 0           |
      | 1      | 195  | 129    | 70     | 1      | 1             | 1           |
      | 0      | 195  | 129    | 70     | 1      | 0             | 30          |
      | 5      | 195  | 129    | 0      | 10     | 5             | 0           |

  Scenario: A strong host that leaves is no longer active
    # It still answers the requests it has, but a caller that is sent there now would soon be sent
    # elsewhere.
    Given 6 hosts with 1.4 cores and 20 with 0.5 cores in 3 availability zones
    When the first strong host leaves
    And servers accept 59 connections and 4 cores are needed
    Then callers are sent to 5 strong and 0 weak hosts

  Scenario: The demand follows the peaks of the last half minute
    # Traffic comes in waves. Hosts that became active in each peak and standby in each trough would
    # open thousands of connections each time, and the peak would meet cold ones.
    Given hosts that send 2000 requests a second to servers for 10 seconds
    Then 4 cores are needed
    When they send 100 requests a second for 20 seconds
    Then 4 cores are needed
    When they send 100 requests a second for 20 seconds
    Then 1 core is needed

  Scenario: A host that is lost after a long calm still counts for a while
    # It may only be partitioned from the leader and still use its connections and its fraction of
    # the budget. If the other hosts divided these at once, all together would exceed what servers
    # accept.
    Given a node that knows 4 hosts of equal strength and servers that accept 28 connections
    When nothing changes for 120 seconds, and then one host is lost
    Then the node holds at most 6 connections to each server
    When 31 seconds later the same view arrives again
    Then the node holds at most 8 connections to each server

  Scenario Outline: Hosts are probed while there is no leader
    # If it stayed advertised, a dead host would cost each caller a second. A host that reaches no
    # other may be partitioned itself and advertises all, as its callers may well reach them.
    Given a node "a" that knows 9 hosts "a b c d e f g h i" from its last leader
    When it has probed hosts 3 times, and only "<alive>" answered
    Then it advertises "<advertised>" to callers

    Examples:
      | alive           | advertised | why                                   |
      | b c d e f g h i | a b c d    | all are healthy                       |
      | c d e f g h i   | a c d e    | the next one takes its place          |
      | i               | a i        | those behind the dead ones are probed |
      |                 | a b c d    | it reaches no other, so it can't tell |

  Scenario: A host that was unreachable is advertised again
    Given a node "a" that knows 9 hosts "a b c d e f g h i" from its last leader
    When it has probed hosts 3 times, and only "c d e" answered
    And it has probed hosts 3 times, and only "b c d e" answered
    Then it advertises "a b c d" to callers

  Scenario: A leader's view replaces what a host found out by itself
    Given a node "a" that knows 9 hosts "a b c d e f g h i" from its last leader
    When it has probed hosts 3 times, and only "c d e" answered
    And a leader reports the hosts "a b c"
    Then it advertises "a b c" to callers
