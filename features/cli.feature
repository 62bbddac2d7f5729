Feature: The command line has help texts, checks files offline and uses documented exit codes

  Scenario: Every command and every option has a help text
    Then each command of alderhatchctl has a help text and each of its options too

  Scenario: The help shows every exit code with its meaning
    When alderhatchctl is called with "--help"
    Then the command ends with exit code 0
    And the command printed every exit code with its meaning

  Scenario: The shell completes commands
    Then the completion of "alderhatchctl rules " offers "list, show, add, edit, move, withdraw, apply, diff, history"

  Scenario Outline: An invalid command line is rejected before any connection
    When alderhatchctl is called with "<words>"
    Then the command ends with exit code 2
    And the command printed the error "<message>"

    Examples:
      | words                                  | message                     |
      | rules list                             | --control ADDRESS:PORT      |
      | --control 10.0.0.1 rules list          | is not ADDRESS:PORT         |
      | --control host:7501 rules list         | is not ADDRESS:PORT         |
      | --control 10.0.0.1:0 rules list        | from 1 to 65535             |
      | --control 10.0.0.1:1 rules list        | --key-file FILE             |
      | --key-file /nowhere rules list         | No such file                |
      | query not-json --upstream u --kind k   | not JSON                    |
      | query {} --upstream u --kind k         | --entry ADDRESS:PORT        |
      | depart x --role upstream               | needs --upstream            |
      | explain --header x                     | is not NAME=VALUE           |

  Scenario: A key that others can read is refused
    # A key file copied with default permissions would let every user of the host change the rules
    # in the operator's name.
    When alderhatchctl is called with a key file that the group can read
    Then the command ends with exit code 2
    And the command printed the error "open to others"

  Scenario: A command that needs no key does not read the key file
    When alderhatchctl is called with "--key-file /nowhere check examples/brazos/rules.toml"
    Then the command ends with exit code 0

  Scenario Outline: The example sets are valid and consistent
    When alderhatchctl checks every file of the example "<deployment>"
    Then the command ends with exit code 0
    And the command printed "18 files, no errors"

    Examples:
      | deployment     |
      | brazos         |
      | trafikkforbund |

  Scenario: A check prints every error of every file with its line
    Given a folder with an entry file and a rules file that have two errors each
    When alderhatchctl checks the files of that folder
    Then the command ends with exit code 3
    And the command printed lines that start with these locations
      | location      | key                                |
      | entry.toml:6  | drain_ms                           |
      | entry.toml:10 | callers.port                       |
      | rules.toml:4  | rule 1 (first): when.kinds         |
      | rules.toml:6  | rule 1 (first): then.coverage      |

  Scenario: A check prints JSON for scripts
    Given a folder with an entry file and a rules file that have two errors each
    When alderhatchctl checks the files of that folder as JSON
    Then the command ends with exit code 3
    And the command printed a JSON list of 4 faults with file, line, key, message and allowed

  Scenario Outline: Files that are valid alone but inconsistent are reported
    Given copies of the brazos example in which <change>
    When alderhatchctl checks the files of that folder
    Then the command ends with exit code 3
    And the command printed "<message>"

    Examples:
      | change                                  | message                                     |
      | two entries have the same name          | 'austin-hall-entry-1' is also in another    |
      | two entries have the same address       | '10.20.1.21:7400' is also in another file   |
      | one entry names another control host    | name different control hosts                |
      | a rule is for an unknown upstream       | no entry has an upstream 'navigater'        |

  Scenario: The rule that matches a request is explained offline
    When alderhatchctl is called with "explain --file examples/brazos/rules.toml --kind month-end --upstream linenlog"
    Then the command ends with exit code 0
    And the command printed "not stalled-robot: kind does not hold"
    And the command printed "matched by rule 5, period-closing"

  Scenario: The default rule matches a request that no other rule matches
    When alderhatchctl is called with "explain --file examples/brazos/rules.toml --kind x --upstream navigator"
    Then the command ends with exit code 0
    And the command printed "matched by the default rule"
    And the command printed "when: any request"

  Scenario Outline: The difference between two lists of rules is the smallest set of changes
    When the list of rules "<now>" is compared with "<declared>"
    Then the rule differences are "<differences>"

    Examples:
      | now   | declared | differences            |
      | a b c | a b c    |                        |
      | a b c | a c      | withdrawn b            |
      | a b   | a x b    | added x                |
      | a b c | c a b    | moved c                |
      | a b c | a b* c   | edited b when.kind     |
      | a b c | b* c d   | withdrawn a, edited b when.kind, added d |
