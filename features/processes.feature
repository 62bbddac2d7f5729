Feature: A tier of separate processes

  Background:
    Given the programs of a tier with 3 control hosts and 2 entries run

  Scenario: A query and a dispatch run end to end
    When each entry of the tier is sent a query
    Then each of the tier's answers has full coverage and names the same snapshot
    When entry "entry-1" of the tier runs dispatch "d-1"
    And entry "entry-2" of the tier is sent dispatch "d-1" again
    Then both of the tier's answers to the dispatch are the same
    And the tier's upstream ran dispatch "d-1" 1 time

  Scenario: The leading control host is killed
    # Guards against lost changes when the leader's machine loses power between two changes.
    # Queries must still be answered, the remaining hosts must accept the next change, and the
    # restarted host must have every accepted change.
    Given 5 rules were accepted by the tier
    When the tier's leading control host is killed
    Then eventually each entry of the tier answers a query
    When 5 more rules are accepted by the tier
    And the tier's killed control host is started again
    Then eventually all control hosts of the tier have the same 10 rules

  Scenario: The leading control host is suspended for long and resumes
    # A suspended leader does not notice that it has been replaced. After it resumes it must neither
    # serve its old rules nor displace the host that was elected meanwhile.
    Given 3 rules were accepted by the tier
    When the tier's leading control host is suspended
    And 3 more rules are accepted by the tier
    And the tier's suspended control host resumes
    Then eventually all control hosts of the tier have the same 6 rules
    And eventually each entry of the tier answers a query

  Scenario: All processes are killed at once and restarted
    # A power failure ends the whole tier. Afterwards the accepted rules must be in force at the
    # same revision.
    Given 12 rules were accepted by the tier
    When all processes of the tier are killed and started again
    Then eventually all control hosts of the tier have the same 12 rules
    And the tier's revision is unchanged
    And eventually each entry of the tier answers a query

  Scenario: An entry is killed while a dispatch runs, and the caller resends it to another entry
    # Guards against a second run when an entry is killed after the dispatch reached a server and
    # before its answer. A second run would send two robots to one room.
    Given each server of the tier's upstream takes 1500 ms longer
    When entry "entry-1" of the tier is killed while dispatch "d-7" runs
    And entry "entry-2" of the tier is sent dispatch "d-7" until its answer is final
    Then the tier's last answer to the dispatch says that it may have run
    And the tier's upstream ran dispatch "d-7" at most 1 time

  Scenario: A planned stop of an entry under load
    # Guards against queries lost in a planned restart of a host. Callers that still use the entry's
    # address must be served, and no query in progress may be cut off.
    Given each server of the tier's upstream takes 50 ms longer
    When entry "entry-1" of the tier is stopped while callers send it queries without pause
    Then the entry of the tier exits with code 0
    And every query sent to it in the tier was answered completely or refused as not run

  Scenario: An entry gets SIGTERM while an operator's planned stop of it goes on
    # Guards against queries that are cut off because the signal is taken for a second request to
    # stop, as the service manager's restart after an operator's planned stop would show.
    Given each server of the tier's upstream takes 900 ms longer
    When entry "entry-1" of the tier runs a query, an operator stops it and it gets SIGTERM
    Then the entry of the tier exits with code 0
    And the query that it ran was answered completely

  Scenario: An entry that can't reach control refuses new requests
    # The entries reach no control host. Once its lease has expired, an entry can't know which rules
    # are in force: it must refuse requests as not run and advise a resend to another entry.
    When all control hosts of the tier are suspended
    Then eventually each entry of the tier refuses queries with "lease_expired"
    When all suspended control hosts of the tier resume
    Then eventually each entry of the tier answers again
