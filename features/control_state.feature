Feature: Replicated control state

  Scenario Outline: Of two changes that expect the same revision exactly one is accepted
    # Two operators read the same revision and each sends a change. If both were accepted, the
    # second would apply to a state that its operator has not seen.
    Given the rules "urgent, routine" at revision 1
    When anna and bjorn both expect revision 1 and send "<first>" and "<second>"
    Then anna's change is accepted as revision 2 and bjorn's refusal lists it
    And the state is the same as after "<first>" alone

    Examples:
      | first            | second           |
      | add night        | add night        |
      | edit urgent      | withdraw urgent  |
      | move routine 1   | edit routine     |
      | withdraw routine | replace          |
      | set hedges       | set hedges       |

  Scenario Outline: A resent change gets its first answer
    # An operator who did not receive the answer resends the change. Meanwhile another change may
    # be accepted, the leader may change, or control may restart from a snapshot.
    Given the rules "urgent, routine" at revision 1
    When "<change>" is sent, then <event>, then the same change is resent
    Then the second answer equals the first, marked as repeated, and nothing is applied twice

    Examples:
      | change         | event                         |
      | add night      | nothing happens               |
      | add night      | another change is accepted    |
      | add night      | control restarts              |
      | edit unknown   | another change is accepted    |
      | add urgent     | control restarts              |

  Scenario: A change id that was used for another change is refused
    Given the rules "urgent, routine" at revision 1
    When "add night" and then "withdraw urgent" are sent with the same change id
    Then the second change is refused as "invalid_change" at "change_id"

  Scenario Outline: An invalid change is refused completely, and the field is reported
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
      | edit an unknown rule                         | not_found         | name                 |
      | move a rule to position 0                    | invalid_change    | position             |
      | withdraw an unknown rule                     | not_found         | name                 |
      | replace the list, last rule invalid          | invalid_change    | then.hedge           |
      | set an unknown setting                       | invalid_change    | settings.colour      |
      | set a valid and an invalid setting           | invalid_change    | settings.crash_limit |
      | stop an unknown host                         | not_found         | host                 |
      | depart a server without its upstream         | invalid_change    | upstream             |
      | lift an unknown quarantine                   | not_found         | fingerprint          |
      | expect a future revision                     | revision_conflict | expected_revision    |

  Scenario Outline: Owners can only be enabled if all entries accept links
    # An entry without links in its settings owns no connections and cannot reach an owner. If the
    # number of owners were set too early, the change would be accepted and the entry would refuse
    # all queries.
    Given entries of which "<unlinked>" have no links in their settings
    When owners_per_server is set to <owners>
    Then the change of owners_per_server is "<result>"

    Examples:
      | unlinked | owners | result                                                       |
      | none     | 2      | accepted                                                     |
      | a2, b1   | 2      | invalid_change at settings.owners_per_server for a2, b1      |
      | a2, b1   | 0      | accepted                                                     |

  Scenario: A withdrawn rule that is added again keeps its history
    Given the rules "urgent, routine" at revision 1
    When urgent is edited, withdrawn, and added again
    Then the history of urgent is "added, edited, withdrawn, added"

  Scenario Outline: A planned stop that takes the quorum or a zone's last entry is refused
    # Without a quorum no change is accepted and, once the leases have expired, no entry serves.
    # Without an entry in its availability zone, callers have to send requests to another zone.
    Given control hosts c1 to c5 of which <down> are down, and entries a1, a2 in austin, w1 in waco
    When stops of "<before>" are planned and then the stop of <host>, forced: <forced>
    Then the stop is "<result>"

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

  Scenario: Updates lead to the same view as the whole view
    # An entry with a missing or wrong update would serve by rules that were never accepted. Nothing
    # would show it, because the entry's revision is correct.
    Then updates and whole views agree in 200 random histories

  Scenario: A host restored from a snapshot has the same state as the others
    # Otherwise the states would diverge, and a change of leader would change the state.
    Then a restored host and one that applied all commands agree in 100 random histories

  Scenario: A body that crashes servers is quarantined tier-wide after the limit
    # A request crashes every server that runs it, and its caller resends it to other entries.
    Given a control state and an entry's view of it
    When crashes on body "b1" are reported for server s1, immediately again for s1, and for s2
    Then body "b1" is quarantined after the report for s2, until 10 minutes have passed
    And body "b2", reported once for s1, is not quarantined
