Feature: Control hosts together, with real files and sockets

  Scenario: Two operators with equal numbers at two control hosts
    # Both look at revision 0 and send at the same moment, one of them to a host that does not lead.
    Then of two operators at two control hosts exactly one wins and the other sees what won

  Scenario: A change is sent again after its leader was lost
    # The operator's connection broke before the answer. The change may be accepted or not; sent
    # again to the next leader, it must not be applied twice nor meet a conflict with itself.
    Then a change resent to the next leader gets its first answer

  Scenario: All control hosts restart after several hundred changes
    # A power cut takes all of them. What was accepted has to be there again, with snapshots in
    # between, and the changes of the last second too.
    Then rules, revision, history and answers are there again after all hosts restart

  Scenario: A repaired control host, and a second one lost right after
    # The disk of one host is gone, a new one takes its place, and then the old leader dies. If the
    # new one had got its vote before it had the log, accepted changes would be lost now.
    Then a second host can be lost right after a repair without losing a change

  Scenario: A planned stop of the leading control host
    # Taken down without a hand-over, it would leave everyone without a leader for an election.
    Then a stop planned for the leader moves the leadership before anything is stopped

  Scenario: A control host is cut off silently and comes back
    # The leader hears nobody and nobody hears it, while its connections stay open. If it went on
    # granting leases, entries would serve by rules that the others have replaced.
    Then a cut-off leader grants nothing, and takes no part in disturbing the others on its return
