Feature: The whole tier as separate processes

  Background:
    Given the programs of a tier with 3 control hosts and 2 entries run

  Scenario: A query and a booking go from end to end
    When each entry of the tier is asked a query
    Then each of the tier's answers covers every index and names one snapshot
    When entry "entry-1" of the tier runs dispatch "d-1"
    And entry "entry-2" of the tier is sent dispatch "d-1" again
    Then both of the tier's answers to the dispatch are the same
    And the tier's upstream ran dispatch "d-1" 1 time

  Scenario: The leading control host is killed
    # Its machine loses power between two changes. Queries must go on, the next change must be
    # taken by the others, and nothing that was accepted may be lost, also on the host that comes
    # back.
    Given 5 rules were accepted by the tier
    When the tier's leading control host is killed
    Then each entry of the tier answers a query
    When 5 more rules are accepted by the tier
    And the tier's killed control host is started again
    Then all control hosts of the tier come to the same 10 rules

  Scenario: The leading control host freezes for long and wakes
    # It is cut off silently and believes that it still leads. Awake again it must not serve its old
    # list, nor take the lead away from the host that was elected meanwhile.
    Given 3 rules were accepted by the tier
    When the tier's leading control host is frozen
    And 3 more rules are accepted by the tier
    And the tier's frozen control host wakes
    Then all control hosts of the tier come to the same 6 rules
    And each entry of the tier answers a query

  Scenario: All processes are killed at once and come back
    # A power cut takes the whole tier. The rules last accepted have to be there again, at the same
    # revision.
    Given 12 rules were accepted by the tier
    When all processes of the tier are killed and started again
    Then all control hosts of the tier come to the same 12 rules
    And the tier's revision is what it was
    And each entry of the tier answers a query

  Scenario: An entry dies while a dispatch runs, and the caller sends it again elsewhere
    # The robot was dispatched, the entry dies before its answer, and the front desk asks another
    # entry. A second run would send two robots to one room.
    Given each server of the tier's upstream takes 1500 ms longer
    When entry "entry-1" of the tier is killed while dispatch "d-7" runs
    And entry "entry-2" of the tier is sent dispatch "d-7" until it answers for good
    Then the tier's last answer to the dispatch says that it may have run
    And the tier's upstream ran dispatch "d-7" at most 1 time

  Scenario: A planned stop of an entry under load
    # The host gets a new kernel at noon. Callers that hold its address for a while longer must
    # still be served, and no query under way may be cut off.
    Given each server of the tier's upstream takes 50 ms longer
    When entry "entry-1" of the tier is stopped while callers ask it without pause
    Then the entry of the tier exits with code 0
    And every query sent to it in the tier was answered whole or truly refused as not run

  Scenario: An entry that control can't be reached from takes no new request
    # All control hosts are lost to the entries. Once its lease has run out, an entry can't know
    # which rules are in force; it refuses, truly not run, and says where else to try.
    When all control hosts of the tier are frozen
    Then soon each entry of the tier refuses queries with "lease_expired"
    When all frozen control hosts of the tier wake
    Then soon each entry of the tier answers again
