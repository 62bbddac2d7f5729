Feature: Members of the replicated log without an operator

  Scenario Outline: What the leader does next
    # Hosts with a disk come, vanish or come back with an empty disk. Nobody declares anything; the
    # log has to have enough voters again before the next loss.
    Given a log with voters "<voters>" and learners "<learners>" that wants 3 voters
    And live disk hosts "<hosts>", of which "<caught up>" have caught up
    And voters that were not heard for 9 s: "<lost>"
    Then the next step of the members is "<step>"

    Examples:
      | voters   | learners | hosts       | caught up | lost | step         | why                            |
      | a1       |          | a1          |           |      | none         | nobody else is there           |
      | a1       |          | a1 b1       |           |      | add b        | a new host receives the log    |
      | a1       | b1       | a1 b1       |           |      | none         | it has not caught up           |
      | a1       | b1       | a1 b1       | b         |      | promote b    | too few voters                 |
      | a1 b1 c1 |          | a1 b1 c1    |           |      | none         | all is well                    |
      | a1 b1 c1 |          | a1 b1 c1 d1 |           |      | add d        | a spare receives the log       |
      | a1 b1 c1 | d1       | a1 b1 c1 d1 | d         |      | none         | a spare needs no vote          |
      | a1 b1 c1 | d1       | a1 b1 d1    | d         |      | none         | c may only have been restarted |
      | a1 b1 c1 | d1       | a1 b1 d1    | d         | c    | promote d    | c is lost                      |
      | a1 b1 c1 d1 |       | a1 b1 d1    |           | c    | remove c     | its successor has a vote       |
      | a1 b1 c1 |          | a1 b1       |           | c    | none         | there is no successor          |
      | a1 b1 c1 |          | a1 b1 c2    |           |      | add c        | c lost its disk                |
      | a1 b1 c1 | c2       | a1 b1 c2    | c         |      | promote c    | the new identity replaces it   |
      | a1 b1 c1 | d1       | a1 b1 c1    |           | d    | remove d     | a lost spare holds nothing     |

  Scenario Outline: How many voters survive a loss
    Then for the loss of <lost> hosts at once <voters> voters are wanted

    Examples:
      | lost | voters |
      | 0    | 3      |
      | 1    | 3      |
      | 2    | 5      |
      | 3    | 7      |
      | 5    | 7      |

  Scenario: All bidders hear of one founder
    # Three hosts with empty disks ask the same host who founds the log. Two founders would make two
    # tiers, each with its own configuration.
    Given a judge of the founding
    When the hosts "c a b" bid within 0.5 s
    Then all of them hear that "a" founds the log
    And a host "0" that bids a minute later hears the same

  Scenario: Nobody founds a second log
    # A host that lost its disk bids beside hosts that belong to a cluster.
    Given a judge of the founding
    When the host "a" bids with an empty disk and "b" with a cluster
    Then all of them hear that nobody founds the log
