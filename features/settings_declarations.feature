Feature: Declarations of rules are validated before they are applied

  Scenario Outline: An error in a rule is reported with its line, its rule and the allowed values
    Given a declaration of two rules in which "<text>" reads "<instead>"
    When the declaration is loaded
    Then the declaration has a fault at line <line>, key "<key>", that says "<message>" and allows "<allowed>"

    Examples:
      | text                    | instead                     | line | key                                        | message                          | allowed                      |
      | name = "conflict-check" | name = "Conflict"           | 2    | rule 1 (Conflict): name                    | match pattern                    | a-z, 0-9                     |
      | name = "rest"           | name = "conflict-check"     | 13   | rule 2 (conflict-check): name              | another rule                     | a-z, 0-9                     |
      | kind = "conflict-check" | kinds = "conflict-check"    | 4    | rule 1 (conflict-check): when.kinds        | did you mean kind?               | upstream                     |
      | coverage = 0.99         | coverage = 99               | 8    | rule 1 (conflict-check): then.coverage     | less than or equal               | from 0 to 1                  |
      | min_coverage = 0.9      | min_coverage = 0.995        | 9    | rule 1 (conflict-check): then.min_coverage | more than the coverage           | from 0 to 1                  |
      | zone = "any_zone"       | zone = "waco-hall"          | 10   | rule 1 (conflict-check): then.zone         | 'own_zone' or 'any_zone'         | one of own_zone, any_zone    |
      | priority = "urgent"     | priority = "now"            | 5    | rule 1 (conflict-check): when.priority[1]  | 'urgent'                         | one of urgent, normal, batch |
      | name = "x-a"            | name = "x-a", prefix = "b"  | 6    | rule 1 (conflict-check): when.headers[1]   | exactly one of                   | name, equals, prefix         |
      | coverage = 0.99         | coverage = "0.99"           | 8    | rule 1 (conflict-check): then.coverage     | wrong type                       | a number from 0 to 1         |
      | coverage = 0.99         | coverage = true             | 8    | rule 1 (conflict-check): then.coverage     | wrong type                       | a number from 0 to 1         |
      | zone = "any_zone"       | retries = 1.0               | 10   | rule 1 (conflict-check): then.retries      | wrong type                       | a whole number from 0 to 10  |
      | priority = "urgent"     | idempotent = "no"           | 5    | rule 1 (conflict-check): when.idempotent   | wrong type                       | true or false                |
      | refuse = "no"           | refuse = ""                 | 15   | rule 2 (rest): then.refuse                 | at least 1 character             | 1 to 200 characters          |
      | refuse = "no"           | refuse = "no"\ncoverage = 1 | 16   | rule 2 (rest): then.coverage               | can't be combined with the other | refuse, retry_after_ms       |

  Scenario: A rule that can never match causes a warning
    # A rule for conflict checks is added below a rule that matches all requests to clashwatch.
    # Without a warning it is accepted but has no effect, and conflict checks remain late.
    Given a declaration with these rules
      | name     | kind           | upstream             | priority              | idempotent | header           |
      | all-cw   |                | clashwatch           |                       |            |                  |
      | conflict | conflict-check | clashwatch           |                       |            |                  |
      | both     | conflict-check | clashwatch, spotbook |                       |            |                  |
      | spots    |                | spotbook             | urgent                |            |                  |
      | spots-2  |                | spotbook             | urgent                | false      |                  |
      | spots-3  |                | spotbook             | urgent, normal        |            |                  |
      | beta     |                |                      |                       |            | x-station=beta-* |
      | beta-7   |                | rotasjon             |                       |            | x-station=beta-7 |
      | gamma    |                | rotasjon             |                       |            | x-station=g      |
      | any      |                |                      | urgent, normal, batch |            |                  |
      | last     | log            |                      |                       |            |                  |
    When the declaration is loaded
    Then the declaration warns that these rules never match
      | rule     | shadowed by |
      | conflict | all-cw      |
      | spots-2  | spots       |
      | beta-7   | beta        |
      | last     | any         |

  Scenario: A rule reported as shadowed matches no request
    Then in random rule lists no random request is matched to a shadowed rule

  Scenario: The example declarations have no errors and no warnings
    Then the declaration examples of "brazos" and "trafikkforbund" are valid

  Scenario Outline: An error in a tier-wide setting is reported with its line and the allowed values
    Given a declaration with the tier setting "<setting>"
    When the declaration is loaded
    Then the declaration has a fault at line 2, key "<key>", that says "<message>" and allows "<allowed>"

    Examples:
      | setting             | key                | message                    | allowed                     |
      | hedge_budget = 2    | tier.hedge_budget  | 2 is out of range          | from 0 to 1                 |
      | crash_limit = 1.5   | tier.crash_limit   | wrong type                 | a whole number from 1 to 10 |
      | hedge_budgets = 0.1 | tier.hedge_budgets | did you mean hedge_budget? | crash_limit                 |
