Feature: The control programs as processes

  Scenario: A control host is killed while operators make changes, and then all of them
    # The power fails under the leader, and later under all. Each change is sent again until it has
    # an answer, as an operator would who lost the connection. None may be lost, or applied twice.
    Given 3 running control programs
    When 40 changes are sent one after the other and the leader is killed in their midst
    Then the revision is 40 and the history shows each change once
    When the killed host is started again
    Then it comes to the same rules and revision as the others
    When all control programs are killed and started again
    Then the rules and the revision are the same as before

  Scenario: A control host is stopped by a signal
    # A planned restart of the leader should cost operators and entries next to nothing.
    Given 3 running control programs
    When the leading program gets SIGTERM
    Then it ends with exit code 0 after another host was elected on its word

  Scenario: A second process on the same data folder
    # Started twice by mistake, two processes would write one journal and ruin it.
    Given 3 running control programs
    When one of them is started a second time
    Then the second ends with exit code 10 and says that the folder is in use
    And the first still takes part

  Scenario: A control host departs for good, and then another one is lost
    # A host is given back to its owner, and the leader's host at that. A week later another one
    # burns. If the departed one still counted, the loss would take the quorum with one host more,
    # and if what it held had not been on the others' disks, accepted rules would be gone.
    Given 5 running control programs
    When 3 changes are made and the leading program departs and is stopped
    Then its host is no member of the log any more, and the other 4 are voters
    When another control program is killed
    Then the rules are as before, and 3 more changes are accepted
    And one more departure is refused while a host is lost
