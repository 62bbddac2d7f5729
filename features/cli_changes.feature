Feature: Changes from the command line are made once, whatever is lost on the way

  Scenario: A change shows its id and revision and prints what was accepted
    Given 3 scripted control hosts of which number 1 is the leader
    When the operator withdraws rule "linen"
    Then the command ends with exit code 0
    And the command printed "revision: 8"
    And the leader was sent exactly one change with the id that the command showed, on revision 7

  Scenario: A host that is not the leader says who is
    Given 3 scripted control hosts of which number 3 is the leader
    When the operator withdraws rule "linen"
    Then the command ends with exit code 0
    And the scripted control hosts applied 1 change

  Scenario: An answer is lost after the change was accepted
    # The leader has the change on disk and dies, or the connection breaks, before its answer is
    # out. An operator who is told "failed" makes the change again, under another id, a second time.
    Given 3 scripted control hosts of which number 1 is the leader
    And the scripted leader loses its next answer after applying the change
    When the operator withdraws rule "linen"
    Then the command ends with exit code 0
    And the scripted control hosts applied 1 change
    And the scripted control hosts saw the same change id 2 times

  Scenario: No answer to a change comes at all
    # Every answer is lost until the time is over. The change may be accepted; a command that says
    # "not done" would be wrong, and one that says "done" too.
    Given 3 scripted control hosts of which number 1 is the leader
    And the scripted leader loses all its answers to changes
    When the operator withdraws rule "linen" within 1 second
    Then the command ends with exit code 7
    And the command printed the error "It may have run. Send it again with the same id"
    And the command printed the error "on revision 7"

  Scenario: A resend with the shown id gets the first answer
    Given 3 scripted control hosts of which number 1 is the leader
    When the operator withdraws rule "linen" with change id "c-1" on revision 7
    And the operator withdraws rule "linen" with change id "c-1" on revision 7
    Then the command ends with exit code 0
    And the command printed "repeated: yes"
    And the scripted control hosts applied 1 change

  Scenario: Nobody can be reached
    Given control hosts that are all down
    When the operator withdraws rule "linen" within 1 second
    Then the command ends with exit code 6
    And the command printed the error "It did not run."

  Scenario: There is no leader
    Given 3 scripted control hosts without a leader
    When the operator withdraws rule "linen" within 1 second
    Then the command ends with exit code 6

  Scenario: Another operator was first
    # Two operators look at revision 7 and both change it. The second must learn that it lost and to
    # whom, or it would take the other one's change away without knowing.
    Given 3 scripted control hosts of which number 1 is the leader
    When the operator withdraws rule "linen" with change id "c-1" on revision 6
    Then the command ends with exit code 5
    And the command printed the error "revision 7 by bjorn: moved rule linen"

  Scenario: A change that breaks a check is refused with every fault
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

  Scenario: The key is in nothing that is printed
    Given 3 scripted control hosts without a leader
    When the operator withdraws rule "linen" within 1 second
    Then the command printed nothing of the key
