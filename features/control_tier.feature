Feature: Several control hosts with real files and sockets

  Scenario: Two operators with equal expected revisions at two control hosts
    # Both expect revision 0 and send a change at the same time, one of them to a host that is not
    # the leader.
    Then exactly one of two concurrent changes is accepted and the other operator is shown it

  Scenario: A change is resent after its leader was lost
    # The operator's connection breaks before the answer, so the change may be accepted or not.
    # Resent to the next leader, it must neither be applied twice nor conflict with itself.
    Then a change resent to the next leader gets its first answer

  Scenario: All control hosts restart after several hundred changes
    # A power failure stops all hosts. All accepted changes have to be restored, those in snapshots
    # as well as those of the last second.
    Then rules, revision, history and answers are restored after all hosts restart

  Scenario: A second control host is lost right after a repair
    # The disk of one host is lost, a new host replaces it, and then the old leader fails. If the new
    # host became a voter before it had the log, accepted changes would be lost.
    Then a second host can be lost right after a repair without losing a change

  Scenario: A planned stop of the leading control host
    # Stopped without a leadership transfer, it would leave the tier leaderless until an election.
    Then a planned stop of the leader transfers the leadership before its host is stopped

  Scenario: The leadership moves while an operator waits for an accepted change to be in force
    # Guards against an answer that says that the change did not run: an operator who believes it
    # would make the change a second time.
    Then an accepted change is reported as accepted when the leadership moves meanwhile

  Scenario: The leader is partitioned and returns
    # All messages between the leader and the other hosts are lost, while connections stay open. If
    # it still granted leases, entries would serve by rules that the other hosts have replaced.
    Then a partitioned leader gives up its leadership, and does not disturb the others on its return
