Feature: alderhatchctl against a tier of real processes

  Scenario: From an empty tier to a booking that is sent twice
    # The answer to a booking is lost, and it is sent again at another entry. It must not run a
    # second time, and the caller must get the first outcome.
    Given a running tier of 3 control hosts and 2 entries
    When the tier's operator runs "status"
    Then the command ends with exit code 0
    And the command printed 4 lines
    When the tier's operator runs "rules apply examples/brazos/rules.toml --wait in-force"
    Then the command ends with exit code 0
    And the command printed "6 rules are accepted, now at revision 1"
    When the tier's operator runs "hosts"
    Then the command printed a row with "entry-1, austin-hall, serving, live"
    And the command printed a row with "entry-2, waco-hall, serving, live"
    When the tier's operator runs "query {\"topic\":\"towels\"} --upstream navigator --kind route --zone waco-hall"
    Then the command ends with exit code 0
    And the command printed the error "rule stalled-robot, revision 1"
    When the tier's operator books a tray with a new request id at "entry-1"
    Then the command ends with exit code 0
    When the tier's operator books a tray with the same request id at "entry-2"
    Then the command ends with exit code 0
    And both bookings got the same outcome
    When the tier's operator books a chair with the same request id at "entry-2"
    Then the command ends with exit code 4
    And the command printed the error "request_id_reused"
    And every process of the tier shows its dump and its metrics
    And no secret is in any log, dump or metrics page of the tier

  Scenario: A booking with an id from long ago
    # A caller finds a booking of the morning in its queue and sends it again. The ledger has
    # forgotten such ids, so it can't tell whether it ran; a second run would be worse than none.
    Given a running tier of 3 control hosts and 2 entries
    When the tier's operator runs "rules apply examples/brazos/rules.toml --wait in-force"
    And the tier's operator books a tray with request id "01a238df-cb4e-7249-9162-8de2abdb5c72" at "entry-1"
    Then the command ends with exit code 7
    And the command printed the error "request_id_too_old"

  Scenario: The leader is killed and the next change goes on
    # The control host that leads loses its power. Operators notice a short pause; a change that they
    # make meanwhile is taken by the next leader, once.
    Given a running tier of 3 control hosts and 2 entries
    When the tier's operator runs "rules apply examples/brazos/rules.toml --wait in-force"
    And the control host that leads is killed
    And the tier's operator runs "rules withdraw linen --wait in-force"
    Then the command ends with exit code 0
    And the command printed "revision: 2"
    When the tier's operator runs "status"
    Then the command ends with exit code 0
    And the command printed "no connection"
    When every control host is killed and started again
    And the tier's operator runs "rules history"
    Then the command printed a row with "2, anna, withdraw_rule, linen"
    And the command printed a row with "1, anna, replace_rules"

  Scenario: A planned stop of an entry is a graceful shutdown
    Given a running tier of 3 control hosts and 2 entries
    When the tier's operator runs "stop plan entry-1 --forced --wait in-force"
    Then the command ends with exit code 0
    And the program "entry-1" ends by itself with exit code 0 and cut off nothing
    And the entry "entry-2" no longer names "entry-1" to callers
