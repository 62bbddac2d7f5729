Feature: The control programs as processes

  Scenario: A control host is killed while operators make changes, and then all of them
    # First the leader is killed, as by a power failure, and later all hosts. Each change is resent
    # until it has an answer, as by an operator who lost the connection. No change may be lost or
    # applied twice.
    Given 3 running control programs
    When 40 changes are sent one after the other and the leader is killed halfway
    Then the revision is 40 and the history shows each change once
    When the killed host is started again
    Then it reaches the same rules and revision as the others
    When all control programs are killed and started again
    Then the rules and the revision are the same as before

  Scenario: A control host is stopped by a signal
    # A planned restart of the leader must hardly delay operators and entries.
    Given 3 running control programs
    When the leading program gets SIGTERM
    Then it exits with code 0 after a leadership transfer to another host

  Scenario: The leader is stopped while an operator waits for an accepted change to be in force
    # Guards against a connection that is closed without an answer, and against an answer that says
    # that the change did not run although it is accepted.
    Given 3 running control programs and an entry that has stopped to confirm changes
    When an operator waits for a change to be in force and the leading program gets SIGTERM
    Then the operator was told that the change is accepted and not yet in force everywhere
    And the leading program ended with exit code 0

  Scenario: The leader is stopped while it waits for a majority
    # Guards against a connection that is closed without an answer: the operator couldn't know
    # whether the change will be applied.
    Given 3 running control programs
    When a change is sent while no majority replies, and the leading program gets SIGTERM
    Then the operator's answer agrees with the rules after the programs run again
    And the leading program ended with exit code 0

  Scenario: A second process on the same data folder
    # A host is started twice by mistake. Two processes that write one journal would corrupt it.
    Given 3 running control programs
    When one of them is started a second time
    Then the second exits with code 10 and logs that the folder is in use
    And the first still applies changes

  Scenario: A control host departs for good, and then another one is lost
    # The host of the leader is removed for good, and later another host fails. If the departed host
    # still counted as a voter, the tier would tolerate one loss fewer. If its log entries were not
    # on the disks of the others, accepted rules would be lost.
    Given 5 running control programs
    When 3 changes are made and the leading program departs and is stopped
    Then its host is no longer a member of the log, and the other 4 are voters
    When another control program is killed
    Then the rules are as before, and 3 more changes are accepted
    And one more departure is refused while a host is lost
