Feature: Every operator command against a control server

  Background:
    Given a control server with the entries "entry-1" in waco-hall and "entry-2" in temple-hall
    And the operator has applied the brazos rules

  Scenario: Status, hosts and dump show the tier
    When the operator runs "status"
    Then the command ends with exit code 0
    And the command printed a row with "control-1, waco-hall, leader"
    When the operator runs "hosts"
    Then the command printed a row with "entry-1, waco-hall, serving, live"
    And the command printed a row with "entry-2, temple-hall, serving, live"
    And the command printed a row with "control-1, waco-hall, voter"
    When the operator runs "dump control-1"
    Then the command printed JSON whose "status.role" is "leader"
    And the command printed no secret

  Scenario: Applying a declaration again changes nothing
    When the operator runs "rules apply examples/brazos/rules.toml"
    Then the command ends with exit code 0
    And the command printed "nothing to change at revision 1"
    When the operator runs "rules diff examples/brazos/rules.toml"
    Then the command ends with exit code 0
    And the command printed "no difference from revision 1"
    When the operator runs "rules history"
    Then the command printed a row with "1, anna, replace_rules"
    And the command printed 2 lines

  Scenario: Rules are added, edited, moved, shown and withdrawn, and keep their history
    Given a rule file "extra.toml" with the rule "extra" that refuses
    And a rule file "linen.toml" with the rule "linen" that refuses
    When the operator runs "rules add extra.toml --position 1 --wait in-force"
    Then the command ends with exit code 0
    And the command printed "in_force: yes"
    When the operator runs "rules edit linen linen.toml"
    Then the command ends with exit code 0
    When the operator runs "rules move extra 3"
    Then the command ends with exit code 0
    When the operator runs "rules list"
    Then the command printed "revision 4"
    And the command printed a row with "3, extra"
    When the operator runs "rules diff examples/brazos/rules.toml"
    Then the command ends with exit code 8
    And the command printed a row with "withdrawn, extra"
    And the command printed a row with "edited, linen, then.refuse"
    When the operator runs "rules withdraw extra"
    Then the command ends with exit code 0
    When the operator runs "rules show extra"
    Then the command printed "action: withdrawn"
    And the command printed "rule: -"
    When the operator runs "rules history extra"
    Then the command printed a row with "2, anna, added"
    And the command printed a row with "4, anna, moved"
    And the command printed a row with "5, anna, withdrawn"
    When the operator runs "rules history --limit 1 --output json"
    Then the command printed JSON whose "changes.0.action" is "withdraw_rule"

  Scenario: A declaration with tier settings sets them once
    Given a declaration "tier.toml" of the brazos rules with "hedge_budget = 0.1"
    When the operator runs "rules diff tier.toml"
    Then the command ends with exit code 8
    And the command printed a row with "edited, tier, hedge_budget, 0.05, 0.1"
    When the operator runs "rules apply tier.toml --wait in-force"
    Then the command printed "now at revision 2"
    When the operator runs "rules apply tier.toml"
    Then the command printed "nothing to change at revision 2"

  Scenario: Two operators change the same revision
    # Both changes build on revision 1. Exactly one may be accepted; the other operator must see who
    # made it, or would overwrite it unknowingly.
    When the operator runs "rules withdraw linen --expect-revision 1 --change-id first"
    And the operator runs "rules withdraw orders --expect-revision 1 --change-id second"
    Then the command ends with exit code 5
    And the command printed the error "revision 2 by anna"
    When the operator runs "rules withdraw linen --expect-revision 1 --change-id first"
    Then the command ends with exit code 0
    And the command printed "repeated: yes"

  Scenario: The rule in force for a request is explained
    When the operator runs "explain --kind route --upstream navigator --header x-robot-firmware=1.7"
    Then the command printed "matched by rule 3, stalled-robot"
    When the operator runs "explain --kind order --no-idempotent --header X-Robot-Firmware=1.7"
    Then the command printed "matched by rule 1, old-firmware"

  Scenario: A stop is planned and cancelled
    When the operator runs "stop plan entry-1 --forced"
    Then the command ends with exit code 0
    When the operator runs "hosts"
    Then the command printed a row with "entry-1, stopping"
    When the operator runs "stop cancel entry-1"
    Then the command ends with exit code 0
    When the operator runs "hosts"
    Then the command printed a row with "entry-1, serving"

  Scenario: A stop of a zone's last entry is refused unless forced
    When the operator runs "stop plan entry-1"
    Then the command ends with exit code 4
    And the command printed the error "stop_refused"
    And the command printed the error "waco-hall"

  Scenario: Hosts depart and servers return
    When the operator runs "depart navigator-01-0 --role upstream --upstream navigator"
    Then the command ends with exit code 0
    When the operator runs "hosts"
    Then the command printed a row with "navigator-01-0, navigator, leaving"
    When the operator runs "return navigator-01-0 --upstream navigator"
    Then the command ends with exit code 0
    When the operator runs "depart entry-2 --role entry --forced"
    Then the command ends with exit code 0
    When the operator runs "hosts"
    Then the command printed a row with "entry-2, departing"

  Scenario: A repair that would lose the quorum is refused
    When the operator runs "repair control-1 --replacement control-9 --zone waco-hall --links 127.0.0.1:7999"
    Then the command ends with exit code 4
    And the command printed the error "the quorum is 1"

  Scenario: Quarantines are listed, and lifting an unknown one is refused
    When the operator runs "quarantine list"
    Then the command ends with exit code 0
    And the command printed "FINGERPRINT"
    When the operator runs "quarantine lift 0123456789abcdef"
    Then the command ends with exit code 4
    And the command printed the error "not_found"

  Scenario: A read-only key cannot make changes
    When the operator with the read key runs "rules withdraw linen"
    Then the command ends with exit code 4
    And the command printed the error "forbidden"
    When the operator with an unknown key runs "rules list"
    Then the command ends with exit code 4
    And the command printed the error "unauthorized"
    And the command printed no secret
