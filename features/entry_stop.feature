Feature: A planned stop of an entry cuts off nothing

  Scenario: An entry stops while callers use it
    # A host gets a new kernel in the middle of a closing. Callers hold an answer that names this
    # entry and connect by it for a while. Every request is answered; none finds a closed door.
    Given an upstream for the entry of 4 shards with 2 servers each
    And each server of the upstream takes 20 ms longer
    And callers keep the entries' addresses for 1500 ms
    And 2 entries run
    And callers ask the entries for addresses and send queries to them without a pause
    When entry 2 makes a planned stop while 30 queries and more are sent
    Then no caller of the entries saw an error or a broken connection
    And entry 2 ran queries after its stop had begun

  Scenario: A query runs longer than the addresses are kept
    # The stop waits for what runs, up to its limit.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 1000 ms longer
    And the entry runs
    When the entry is asked and makes a planned stop once the query has reached the upstream
    Then the entry's answers are right and lack nothing
    And the entry had ended after its last answer

  Scenario: A query comes after the entry has begun to refuse
    # A caller kept the address for longer than it was told to. It is refused, truly not run, and
    # told to go to another entry.
    Given an upstream for the entry of 2 shards with 1 server each
    And each server of the upstream takes 1500 ms longer
    And the entry runs
    When the entry drains with a query under way and is asked once more
    Then the later query was refused by the entry with "stopping" and "not_run" and "other_entry"
    And the entry's answers are right and lack nothing

  Scenario Outline: The program gets <signals>
    # Whoever runs the host ends the program by a signal, and by a second one if it is in a hurry.
    Given an upstream for the entry of 2 shards with 1 server each
    When the entry's program runs on a file of rules and gets <signals>
    Then the entry's program ended with exit code 0 and the event "<event>"
    And the entry's program answered a query by the rule "from-file" before

    Examples:
      | signals      | event         |
      | SIGTERM      | entry_stopped |
      | SIGINT       | entry_stopped |
      | SIGTERM twice | entry_stopping |

  Scenario: Operators look at an entry
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs with its operators' side
    And the entry was asked 3 times
    When an operator reads metrics, readiness and dump of the entry
    Then the entry's metrics count 3 answered requests
    And the entry is ready
    And the entry's dump names its upstream, snapshot and servers
    And after the stop has begun the entry is not ready
