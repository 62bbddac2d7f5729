Feature: alderhatchctl against a tier of processes

  Scenario: From an empty tier to a booking that is resent
    # The answer to a booking is lost and the booking is resent to another entry. It must not run a
    # second time, and the caller must get the first outcome.
    Given a running tier of 3 control hosts and 2 entries
    When the tier's operator runs "status"
    Then the command ends with exit code 0
    And the command printed 4 lines
    When the tier's operator runs "rules apply examples/brazos/rules.toml --wait in-force"
    Then the command ends with exit code 0
    And the command printed "6 rules accepted, now at revision 1"
    When the tier's operator runs "hosts"
    Then the command printed a row with "entry-1, austin-hall, serving, live"
    And the command printed a row with "entry-2, waco-hall, serving, live"
    When the tier's operator queries with a rule of 150 ms until no stall of a stand-in makes it late
    Then the command ends with exit code 0
    And the command printed the error "rule stalled-robot, revision 1"
    When the tier's operator books a tray with a new request ID at "entry-1"
    Then the command ends with exit code 0
    When the tier's operator books a tray with the same request ID at "entry-2"
    Then the command ends with exit code 0
    And both bookings have the same outcome
    When the tier's operator books a chair with the same request ID at "entry-2"
    Then the command ends with exit code 4
    And the command printed the error "request_id_reused"
    And every process of the tier serves its dump and its metrics
    And no secret is in any log, dump or metrics page of the tier

  Scenario: A booking with an expired request ID
    # A caller resends a booking after the ledger has evicted its ID. The ledger cannot tell whether
    # it ran, and a second run is worse than none.
    Given a running tier of 3 control hosts and 2 entries
    When the tier's operator runs "rules apply examples/brazos/rules.toml --wait in-force"
    And the tier's operator books a tray with request ID "01a238df-cb4e-7249-9162-8de2abdb5c72" at "entry-1"
    Then the command ends with exit code 7
    And the command printed the error "request_id_too_old"

  Scenario: A change succeeds after the leader is killed
    # The leader fails abruptly. A change that is made in the meantime is delayed until the next
    # leader applies it, exactly once.
    Given a running tier of 3 control hosts and 2 entries
    When the tier's operator runs "rules apply examples/brazos/rules.toml --wait in-force"
    And the leading control host is killed
    And the tier's operator runs "rules withdraw linen --wait in-force"
    Then the command ends with exit code 0
    And the command printed "revision: 2"
    When the tier's operator runs "status"
    Then the command ends with exit code 0
    And the command printed "no connection"
    When every control host is killed and restarted
    And the tier's operator runs "rules history"
    Then the command printed a row with "2, anna, withdraw_rule, linen"
    And the command printed a row with "1, anna, replace_rules"

  Scenario: A planned stop of an entry is a graceful shutdown
    Given a running tier of 3 control hosts and 2 entries
    When the tier's operator runs "stop plan entry-1 --forced --wait in-force"
    Then the command ends with exit code 0
    And the program "entry-1" exits by itself with exit code 0 and without aborted requests
    And the entry "entry-2" no longer advertises "entry-1" to callers
