Feature: The state of control

  Scenario Outline: Of two operators with equal numbers exactly one wins
    # Two operators look at the same revision and each sends a change. If both were taken, the
    # second would be decided on a list that its operator has never seen.
    Given the rules "urgent, routine" at revision 1
    When anna and bjorn both expect revision 1 and send "<first>" and "<second>"
    Then anna's is accepted as revision 2 and bjorn is shown what won
    And the state is the one after "<first>" alone

    Examples:
      | first            | second           |
      | add night        | add night        |
      | edit urgent      | withdraw urgent  |
      | move routine 1   | edit routine     |
      | withdraw routine | replace          |
      | set hedges       | set hedges       |

  Scenario Outline: A resent change gets its first answer
    # The operator lost the answer and sends the same change again, perhaps after others have made
    # changes, the leader has changed, or the process has restarted from a snapshot.
    Given the rules "urgent, routine" at revision 1
    When "<change>" is sent, then <event>, then the same is sent again
    Then the second answer is the first one, marked as repeated, and nothing was applied twice

    Examples:
      | change         | event                         |
      | add night      | nothing happens               |
      | add night      | another change is accepted    |
      | add night      | control restarts              |
      | edit unknown   | another change is accepted    |
      | add urgent     | control restarts              |

  Scenario: A change id with other content is refused
    Given the rules "urgent, routine" at revision 1
    When "add night" and then "withdraw urgent" are sent with one change id
    Then the second is refused as "invalid_change" at "change_id"

  Scenario Outline: A change with a mistake is refused whole, and the field is named
    Given the rules "urgent, routine" at revision 1
    When the change "<change>" is sent
    Then it is refused as "<kind>" at "<field>" and the state is unchanged

    Examples:
      | change                                       | kind              | field                |
      | add a rule without a name                    | invalid_change    | name                 |
      | add a rule whose name is taken               | invalid_change    | name                 |
      | add a rule with coverage 1.5                 | invalid_change    | then.coverage        |
      | add a rule with an unknown condition         | invalid_change    | when.colour          |
      | add a rule at position 9                     | invalid_change    | position             |
      | edit a rule to another name                  | invalid_change    | rule.name            |
      | edit a rule that is not there                | not_found         | name                 |
      | move a rule to position 0                    | invalid_change    | position             |
      | withdraw a rule that is not there            | not_found         | name                 |
      | replace the list by one with a bad last rule | invalid_change    | then.hedge           |
      | set an unknown setting                       | invalid_change    | settings.colour      |
      | set a good and a bad setting                 | invalid_change    | settings.crash_limit |
      | stop an unknown host                         | not_found         | host                 |
      | depart a server without its upstream         | invalid_change    | upstream             |
      | lift a quarantine that is not there          | not_found         | fingerprint          |
      | expect a revision that is to come            | revision_conflict | expected_revision    |

  Scenario Outline: Owners are only for a tier whose entries reach each other
    # An entry whose settings lack its links owns no connection and reaches no owner. An operator who
    # sets the number of owners too early would see the change accepted, and its callers nothing but
    # refusals.
    Given entries of which "<without>" have no links in their settings
    When the number of owners is set to <owners> there
    Then that change is "<result>"

    Examples:
      | without | owners | result                                                       |
      | nobody  | 2      | accepted                                                     |
      | a2, b1  | 2      | invalid_change at settings.owners_per_server for a2, b1      |
      | a2, b1  | 0      | accepted                                                     |

  Scenario: A withdrawn rule that is added again keeps its history
    Given the rules "urgent, routine" at revision 1
    When urgent is edited, withdrawn, and added again
    Then the history of urgent is "added, edited, withdrawn, added"

  Scenario Outline: A planned stop is refused where it takes too much
    # A stop that takes the quorum stops every change and, once the leases have run out, every
    # entry; one that takes a zone's last entry sends all its callers across zones.
    Given control hosts c1 to c5 of which <down> are down, and entries a1, a2 in austin, w1 in waco
    When the stops of "<before>" are planned and then that of <host>, forced: <forced>
    Then that stop is "<result>"

    Examples:
      | down   | before | host | forced | result                                    |
      | none   | none   | a1   | no     | accepted                                  |
      | none   | a1     | a2   | no     | refused: last serving entry of austin     |
      | none   | a1     | a2   | yes    | accepted                                  |
      | none   | none   | w1   | no     | refused: last serving entry of waco       |
      | none   | c1     | c2   | no     | accepted                                  |
      | none   | c1, c2 | c3   | no     | refused: quorum                           |
      | c4, c5 | none   | c1   | no     | refused: quorum                           |
      | c4, c5 | none   | c4   | no     | accepted                                  |
      | c4, c5 | none   | c1   | yes    | accepted                                  |

  Scenario: Entries that get updates see what those see that get the whole
    # An entry that misses an update, or is given a wrong one, would serve by rules that no operator
    # ever accepted. Nobody would notice, as its revision is right.
    Then updates and whole views agree under 200 random histories

  Scenario: A host that restarts from a snapshot is no different from the others
    # The hosts would drift apart, and the state would change with the next change of leader.
    Then a restored host and one that applied everything agree under 100 random histories

  Scenario: A body that crashes servers is quarantined tier-wide after the limit
    # One request crashes each server that runs it, and its caller sends it again at other entries.
    Given a state with an entry's view of it
    When crashes of body "b1" are reported for servers s1, s1 again at once, and s2
    Then body "b1" is quarantined after the report for s2 and no longer after 10 minutes
    And body "b2", reported once for s1, is not quarantined
