Feature: Which hosts callers are sent to

  Scenario Outline: The strongest hosts, and no more than are needed
    # Callers spread over all hosts alike. A query over a hundred shards takes a host with half a core
    # longer than its callers wait, and with many hosts each of them hears so seldom of a server that
    # its connection has timed out: queries are late although every server is idle.
    Given <strong> hosts with <cores> cores and <weak> with <fewer> cores in <zones> availability zones
    When servers accept <connections> connections and <needed> cores are needed
    Then callers are sent to <chosen_strong> strong and <chosen_weak> weak hosts
    And no availability zone has over one strong host more than another

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

  Scenario: A strong host that leaves is not named any more
    # It still answers what it has; a caller that is sent there now would have to be sent on soon.
    Given 6 hosts with 1.4 cores and 20 with 0.5 cores in 3 availability zones
    When the first strong host leaves
    And servers accept 59 connections and 4 cores are needed
    Then callers are sent to 5 strong and 0 weak hosts

  Scenario: The need follows the peaks of the last half minute
    # Traffic comes in waves. Hosts that were added in each peak and taken away in each trough would
    # open thousands of connections each time, and the peak would meet cold ones.
    Given hosts that send 2000 requests a second to servers for 10 seconds
    Then 4 cores are needed
    When they send 100 requests a second for 20 seconds
    Then 4 cores are needed
    When they send 100 requests a second for 20 seconds
    Then 1 core is needed

  Scenario: A host that is lost after a long calm still counts for a while
    # It may only be cut off from the leader, and go on using its connections and its part of the
    # budget. Hosts that shared them out again at once would together go over what servers accept.
    Given a node that knows 4 hosts of equal strength before servers that accept 28 connections
    When nothing changes for 120 seconds, and then one host is lost
    Then the node holds 6 connections to each server at most
    When 31 seconds later the view is told again
    Then the node holds 8 connections to each server at most

  Scenario Outline: Hosts are tried while no leader tells who is gone
    # Named without end, a dead host costs each caller a second. A host that reaches nobody may be
    # cut off itself, and names all, as its callers may well reach them.
    Given a node "a" that knows 9 hosts "a b c d e f g h i" from its last leader
    When it has tried whom it names 3 times, and only "<alive>" answered
    Then it names "<named>" to callers

    Examples:
      | alive           | named   | why                                   |
      | b c d e f g h i | a b c d | all are well                          |
      | c d e f g h i   | a c d e | the next one takes its place          |
      | i               | a i     | those behind the dead ones are tried  |
      |                 | a b c d | it reaches nobody, so it can't tell   |

  Scenario: A host that was out of reach is named again
    Given a node "a" that knows 9 hosts "a b c d e f g h i" from its last leader
    When it has tried whom it names 3 times, and only "c d e" answered
    And it has tried whom it names 3 times, and only "b c d e" answered
    Then it names "a b c d" to callers

  Scenario: The leader's word ends what a host found out by itself
    Given a node "a" that knows 9 hosts "a b c d e f g h i" from its last leader
    When it has tried whom it names 3 times, and only "c d e" answered
    And a leader says that the hosts "a b c" are there
    Then it names "a b c" to callers
