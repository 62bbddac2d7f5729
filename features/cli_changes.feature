Feature: Changes from the command line are applied at most once, also if answers are lost

  Scenario: A change prints its ID, its revision and the accepted result
    Given 3 scripted control hosts of which number 1 is the leader
    When the operator withdraws rule "linen"
    Then the command ends with exit code 0
    And the command printed "revision: 8"
    And the leader was sent exactly one change with the ID that the command printed, on revision 7

  Scenario: A host that is not the leader names the leader
    Given 3 scripted control hosts of which number 3 is the leader
    When the operator withdraws rule "linen"
    Then the command ends with exit code 0
    And the scripted control hosts applied 1 change

  Scenario: An answer is lost after the change was accepted
    # The leader fails or the connection breaks after the change is on disk and before the answer is
    # sent. If the command reported a failure, the operator would repeat the change with another ID.
    Given 3 scripted control hosts of which number 1 is the leader
    And the scripted leader loses its next answer after applying the change
    When the operator withdraws rule "linen"
    Then the command ends with exit code 0
    And the scripted control hosts applied 1 change
    And the scripted control hosts received the same change ID 2 times

  Scenario: Every answer to a change is lost
    # The change may be accepted or not, so the command must report neither success nor failure.
    Given 3 scripted control hosts of which number 1 is the leader
    And the scripted leader loses all its answers to changes
    When the operator withdraws rule "linen" within 1 second
    Then the command ends with exit code 7
    And the command printed the error "It may have run. Resend it with the same ID"
    And the command printed the error "on revision 7"

  Scenario: A resend with the printed ID gets the first answer
    Given 3 scripted control hosts of which number 1 is the leader
    When the operator withdraws rule "linen" with change ID "c-1" on revision 7
    And the operator withdraws rule "linen" with change ID "c-1" on revision 7
    Then the command ends with exit code 0
    And the command printed "repeated: yes"
    And the scripted control hosts applied 1 change

  Scenario: No control host can be reached
    Given control hosts that are all down
    When the operator withdraws rule "linen" within 1 second
    Then the command ends with exit code 6
    And the command printed the error "It did not run."

  Scenario: There is no leader
    Given 3 scripted control hosts without a leader
    When the operator withdraws rule "linen" within 1 second
    Then the command ends with exit code 6

  Scenario: Another operator changed the revision first
    # Two operators change the same revision. The second one must see the conflict and who made the
    # first change; otherwise it would overwrite that change unknowingly.
    Given 3 scripted control hosts of which number 1 is the leader
    When the operator withdraws rule "linen" with change ID "c-1" on revision 6
    Then the command ends with exit code 5
    And the command printed the error "revision 7 by bjorn: moved rule linen"

  Scenario: An invalid change is refused with every fault
    Given 3 scripted control hosts of which number 1 is the leader
    When the operator withdraws rule "no-such-rule"
    Then the command ends with exit code 4
    And the command printed the error "rule 0 (no-such-rule): name: there is no such rule"

  Scenario: A change is accepted but an entry has not confirmed it yet
    Given 3 scripted control hosts of which number 1 is the leader
    And the scripted entry "entry-9" confirms nothing
    When the operator withdraws rule "linen" and waits until it is in force
    Then the command ends with exit code 9
    And the command printed the error "not yet in force at: entry-9"

  Scenario: The key is never printed
    Given 3 scripted control hosts without a leader
    When the operator withdraws rule "linen" within 1 second
    Then the command did not print the key
