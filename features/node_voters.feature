Feature: Members of the replicated log without an operator

  Scenario Outline: What the leader does next
    # Hosts with a disk come, vanish or come back with an empty disk. Nobody declares anything; the
    # log has to have enough voters again before the next loss.
    Given a log with voters "<voters>" and learners "<learners>" that wants 3 voters
    And live disk hosts "<hosts>", of which "<caught up>" have caught up
    And voters that were not heard for 2 s: "<lost>", where a new host has 4 s to catch up
    Then the next step of the members is "<step>"

    Examples:
      | voters      | learners | hosts       | caught up | lost | step           | why                            |
      | a1          |          | a1          |           |      | none           | nobody else is there           |
      | a1          |          | a1 b1       |           |      | add b          | a new host receives the log    |
      | a1          | b1       | a1 b1       |           |      | none           | it has not caught up           |
      | a1          | b1       | a1 b1       | b         |      | promote b      | too few voters                 |
      | a1 b1 c1    |          | a1 b1 c1    |           |      | none           | all is well                    |
      | a1 b1 c1    |          | a1 b1 c1 d1 |           |      | add d          | a spare receives the log       |
      | a1 b1 c1    | d1       | a1 b1 c1 d1 | d         |      | none           | a spare needs no vote          |
      | a1 b1 c1    | d1       | a1 b1 d1    | d         |      | none           | c may only have been restarted |
      | a1 b1 c1    | d1       | a1 b1 d1    | d         | c    | replace c by d | c is lost                      |
      | a1 b1 c1 d1 |          | a1 b1 d1    |           | c    | remove c       | its successor has a vote       |
      | a1 b1 c1    |          | a1 b1       |           | c    | none           | there is no successor          |
      | a1 b1 c1    |          | a1 b1 c2    |           |      | add c          | c lost its disk                |
      | a1 b1 c1    | c2       | a1 b1 c2    | c         |      | promote c      | the new identity replaces it   |
      | a1 b1 c1    | d1       | a1 b1 c1    |           | d    | remove d       | a lost spare holds nothing     |

  Scenario Outline: A silent voter's vote moves well before the next loss may come
    # A host that is back has <catch_up> s to catch up, and only then may another one be lost. A vote
    # that moves later leaves a log without a majority; after a shorter silence the host may only
    # have been restarted.
    Given a log with voters "a1 b1 c1" and learners "d1" that wants 3 voters
    And live disk hosts "a1 b1 d1", of which "d" have caught up
    And voters that were not heard for <silent> s: "c", where a new host has <catch_up> s to catch up
    Then the next step of the members is "<step>"

    Examples:
      | silent | catch_up | step           |
      | 1.5    | 4        | none           |
      | 2      | 4        | replace c by d |
      | 2      | 6        | none           |
      | 3      | 6        | replace c by d |
      | 0.5    | 1        | replace c by d |

  Scenario: A spare that lost its disk is a member once
    # Its old identity can never answer again. Kept beside the new one it could get the vote in its
    # place, and the log would count on a host that is not there.
    Given a log with voters "a1 b1 c1" and learners "d1" that wants 3 voters
    When the learner "d2" is added
    Then the learners are "d2"

  Scenario Outline: One loss after the other leaves a majority
    # A host goes for good, loses its disk or stands still, at most <tolerated> of them at the same
    # time, and the next one is lost as soon as the last one, or its successor, had its time. Once a
    # majority of the voters can never answer again, no change is taken any more and none that was
    # acknowledged can be read back.
    When every <step>th series of <losses> losses is played with <tolerated> lost at once
    Then each of them leaves a majority that can answer

    Examples:
      | tolerated | losses | step |
      | 1         | 2      | 1    |
      | 1         | 3      | 43   |
      | 2         | 2      | 5    |
      | 2         | 3      | 199  |

  Scenario: A lost host's successor is lost as well
    # The successor is still receiving the log from a slow disk when it goes, and the leader counts a
    # host as live for 1.6 s after that. It was given the vote then: with two of four voters gone,
    # nobody could lead again, although two of the three before were well. On the tier of the records
    # a host goes off at 12.0 s; "configuration_accepted" at 12.42 s is the last one of the day, and
    # at 12.72 s the leader's "log_role_changed" says follower, "leader": null.
    When a host goes for good and then its successor, with 1 lost at once, in every series
    Then each of them leaves a majority that can answer

  Scenario: A lost host's successor is the last of three losses
    # The same where two hosts may be lost at the same time.
    When a host goes for good and then its successor, with 2 lost at once, in every 5th series
    Then each of them leaves a majority that can answer

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
