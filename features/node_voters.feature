Feature: Membership changes of the replicated log without an operator

  Scenario Outline: The next membership change
    # Hosts with a disk join, disappear or return with an empty disk. No operator declares this; the
    # log has to have enough voters again before the next loss.
    Given a log with voters "<voters>" and learners "<learners>" that requires 3 voters
    And live disk hosts "<hosts>", of which "<caught up>" have caught up
    And voters that have been silent for 2 s: "<lost>", where a new host has 4 s to catch up
    Then the next membership step is "<step>"

    Examples:
      | voters      | learners | hosts       | caught up | lost | step           | why                            |
      | a1          |          | a1          |           |      | none           | there is no other host         |
      | a1          |          | a1 b1       |           |      | add b          | a new host receives the log    |
      | a1          | b1       | a1 b1       |           |      | none           | it has not caught up           |
      | a1          | b1       | a1 b1       | b         |      | promote b      | too few voters                 |
      | a1 b1 c1    |          | a1 b1 c1    |           |      | none           | all voters are live            |
      | a1 b1 c1    |          | a1 b1 c1 d1 |           |      | add d          | a spare receives the log       |
      | a1 b1 c1    | d1       | a1 b1 c1 d1 | d         |      | none           | a spare needs no vote          |
      | a1 b1 c1    | d1       | a1 b1 d1    | d         |      | none           | c may only have been restarted |
      | a1 b1 c1    | d1       | a1 b1 d1    | d         | c    | replace c by d | c is lost                      |
      | a1 b1 c1 d1 |          | a1 b1 d1    |           | c    | remove c       | its successor has a vote       |
      | a1 b1 c1    |          | a1 b1       |           | c    | none           | there is no successor          |
      | a1 b1 c1    |          | a1 b1 c2    |           |      | add c          | c lost its disk                |
      | a1 b1 c1    | c2       | a1 b1 c2    | c         |      | promote c      | the new member replaces it     |
      | a1 b1 c1    | d1       | a1 b1 c1    |           | d    | remove d       | a lost spare is not needed     |

  Scenario Outline: A silent voter is replaced well before the next loss
    # A returning host has <catch_up> s to catch up, and only then may another one be lost. If the
    # voter were replaced later, the log could lose its majority. After a shorter silence the host
    # may only have been restarted.
    Given a log with voters "a1 b1 c1" and learners "d1" that requires 3 voters
    And live disk hosts "a1 b1 d1", of which "d" have caught up
    And voters that have been silent for <silent> s: "c", where a new host has <catch_up> s to catch up
    Then the next membership step is "<step>"

    Examples:
      | silent | catch_up | step           |
      | 1.5    | 4        | none           |
      | 2      | 4        | replace c by d |
      | 2      | 6        | none           |
      | 3      | 6        | replace c by d |
      | 0.5    | 1        | replace c by d |

  Scenario: A spare that lost its disk is a member once
    # Its old member ID can never answer again. If it stayed a learner beside the new one, it could
    # be promoted instead, and the log would have a voter that does not exist.
    Given a log with voters "a1 b1 c1" and learners "d1" that requires 3 voters
    When the learner "d2" is added
    Then the learners are "d2"

  Scenario Outline: Successive losses leave a majority
    # Hosts are lost for good, lose their disk or are paused, at most <tolerated> at the same time.
    # The next host is lost as soon as the last one, or its successor, had its time to catch up.
    # Once a majority of the voters can never answer again, no change can be accepted and
    # acknowledged changes can't be read back.
    When every <step>th schedule of <losses> losses is run with <tolerated> lost at once
    Then each of them leaves a majority that can answer

    Examples:
      | tolerated | losses | step |
      | 1         | 2      | 1    |
      | 1         | 3      | 43   |
      | 2         | 2      | 5    |
      | 2         | 3      | 199  |

  Scenario: A lost host's successor is lost as well
    # The successor still copies the log to a slow disk when it is lost, and the leader counts it as
    # live for another 1.6 s. If it is promoted then, before the first lost voter is removed, two of
    # four voters are lost and no leader can be elected, although two of the original three still
    # run. In the logs of such a run a host is lost at 12.0 s, the last "configuration_accepted" is
    # at 12.42 s, and at 12.72 s the leader logs "log_role_changed" as follower with "leader": null.
    When a host is lost for good and then its successor, with 1 lost at once, in every schedule
    Then each of them leaves a majority that can answer

  Scenario: A lost host's successor is the last of three losses
    # The same in a tier where two hosts may be lost at the same time.
    When a host is lost for good and then its successor, with 2 lost at once, in every 5th schedule
    Then each of them leaves a majority that can answer

  Scenario Outline: How many voters survive a loss
    Then for the loss of <lost> hosts at once <voters> voters are required

    Examples:
      | lost | voters |
      | 0    | 3      |
      | 1    | 3      |
      | 2    | 5      |
      | 3    | 7      |
      | 5    | 7      |

  Scenario: All bidders get the same founder
    # Three hosts with empty disks send their bids to the same host. Two founders would create two
    # tiers, each with its own configuration.
    Given a bootstrap coordinator
    When the hosts "c a b" bid within 0.5 s
    Then all of them get the verdict that "a" bootstraps the log
    And a host "0" that bids a minute later gets the same verdict

  Scenario: No second log is bootstrapped
    # A host that lost its disk bids together with a host that belongs to a cluster.
    Given a bootstrap coordinator
    When the host "a" bids with an empty disk and "b" with a cluster
    Then all of them get the verdict that no host bootstraps the log
