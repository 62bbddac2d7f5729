Feature: The replicated log of running control hosts

  Scenario Outline: Control hosts apply the same commands in the same order
    When <size> log hosts bootstrap the log and 30 commands are committed
    Then each log host has applied the same commands in the same order
    And a read barrier on the log leader covers them, and the other log hosts refuse it

    Examples:
      | size |
      | 1    |
      | 3    |
      | 5    |

  Scenario: The outcome of a command is lost
    # Guards against a check that reports a command that was proposed twice as a fault of the log.
    When 3 log hosts commit 30 commands, and the outcome of one of them is lost
    Then each log host has applied the same commands in the same order
    And that command was proposed again and is in the log twice

  Scenario: All control hosts restart after several hundred changes and compactions
    # Guards against lost commands after a power loss in a whole availability zone. Most of the
    # journal has been replaced by snapshots by then, but the hosts must restore all commands.
    When 3 log hosts commit 400 commands, are all stopped and are started again
    Then each log host has applied the same commands in the same order
    And the log lost no acknowledged command and its journal is compacted

  Scenario: The leader is killed while commands arrive
    # Guards against lost commands when the leader crashes. Commands in progress fail, and the
    # callers retry until another host has become the leader.
    When the leader of 3 log hosts is killed while 100 commands are proposed
    Then the log lost no acknowledged command and its term increased

  Scenario: A follower's disk is replaced and another host is lost right afterwards
    # Guards against a repaired host that gets its vote before it has the whole log. An operator
    # restarts a host under its name and address with an empty data folder, and after the repair
    # another host is lost for good.
    When the disk of a follower of 3 log hosts is replaced and repaired, and another host is lost
    Then the log lost no acknowledged command and accepts new ones

  Scenario: A host with a replaced disk does not vote under its old member ID
    # Guards against the loss of accepted commands before the repair is declared. A host that has
    # lost its votes and entries must neither count towards a majority nor bootstrap a new cluster.
    When the disk of the first of 3 log hosts is replaced without a repair, and another host stops
    Then the log acknowledges no command until that other host is back

  Scenario: A new host with another name replaces a host
    When a fourth log host joins 3 as a learner, is promoted, and another one is removed
    Then the other three are voters of the log and have every acknowledged command

  Scenario: A replacement that has stopped gets no vote
    # Guards against the promotion of a replacement that has stopped before it got its vote. It had
    # acknowledged nearly all of the log, so it looks caught up even minutes later. With a vote it
    # would be one of two lost voters of four, and the log would accept no further change.
    When a fourth log host joins 3 as a learner, stops with another one, and is to be promoted
    Then it gets no vote, and the log accepts new commands

  Scenario: A planned stop of the leading control host
    # Guards against lost commands when an operator stops the leader. It transfers its leadership
    # first, so that callers see hardly any interruption.
    When the leader of 3 log hosts transfers its leadership and stops while commands arrive
    Then the log lost no acknowledged command and its term increased

  Scenario: A leadership transfer right after the bootstrap
    # Guards against ignored vote requests of hosts that have just joined the cluster: by their last
    # hello to the peers they belong to no cluster. The leadership transfer would fail, and the log
    # would accept nothing for a second.
    When 5 log hosts bootstrap the log and the leader transfers its leadership at once
    Then the log has a new leader in the next term

  Scenario: The disk of the leading control host fills up
    # Guards against acknowledged commands that are not on disk after a restart. A host with a full
    # disk must report the failure and stop taking part.
    When the disk of the leader of 3 log hosts is full
    Then the failed log host reports it, refuses commands and is no longer the leader
    And the log lost no acknowledged command and accepts new ones
    And the failed log host has every command after a restart with free disk space

  Scenario Outline: A step of the log fails at <whom>
    # A command that a member can't apply is on the way. Guards against a member that goes on with a
    # state half changed, and votes or acknowledges by it, as only the link that brought it ended.
    When <whom> of 3 log hosts can't apply a command
    Then that member has stopped with the reason, and acknowledges nothing
    And the log goes on without it, and it has every command after a restart

    Examples:
      | whom       |
      | a follower |
      | the leader |

  Scenario: A link between control hosts goes silent
    # Guards against a follower that stays cut off. A device between two hosts drops its connection
    # state: packets are lost without an error, while a new connection would work at once.
    When the link of the leader of 3 log hosts to a follower goes silent
    Then the follower receives new commands over a new link

  Scenario: A process of another cluster dials in
    # Guards against a log that accepts a host of another cluster, for example after settings were
    # copied between two deployments with the same secret.
    When a log host of another cluster dials a log host
    Then the log host refuses it and keeps its own state
