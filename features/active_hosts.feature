Feature: Hosts that no single failure takes together with the active ones stand in for them

  Scenario Outline: All active hosts lose power at once
    # Guards against callers that are sent to lost hosts for seconds although most hosts run.
    Given a tier of <hosts> hosts, of which the <strong> strong ones are active
    When the strong hosts lose power
    And 800 ms pass
    Then each running host soon names at least 4 running hosts of 3 zones to its callers, and no lost one
    And no host that stands in opens connections ahead of requests
    And the running hosts hold at most 52 connections to each server

    Examples:
      | hosts | strong |
      | 71    | 6      |
      | 410   | 6      |

  Scenario: All processes of the active hosts are killed
    # Their ports refuse connections, and the link to the leader closes at once.
    Given a tier of 71 hosts, of which the 6 strong ones are active
    When the processes of the strong hosts are killed
    And 100 ms pass
    Then each running host soon names at least 4 running hosts of 3 zones to its callers, and no lost one

  Scenario: Only the leader loses power
    # Guards against weak hosts that get gathers although strong hosts run.
    Given a tier of 71 hosts, of which the 6 strong ones are active
    When the leader loses power
    And 800 ms pass
    Then each running host soon names only strong hosts to its callers

  Scenario: The active hosts return with a new leader
    # Guards against a stampede: stand-ins that all connect to every server when they are no longer
    # needed.
    Given a tier of 71 hosts, of which the 6 strong ones are active
    When the strong hosts lose power
    And 1500 ms pass
    And the strong hosts are back, and a new leader sends its view
    Then each running host soon names only strong hosts to its callers
    And no weak host opens connections ahead of requests

  Scenario: A leader that was silent for a moment is heard again
    # Guards against hosts that are left out for good after a pause in the network.
    Given a tier of 71 hosts, of which the 6 strong ones are active
    When the strong hosts can't be reached for 900 ms
    And 1000 ms pass
    Then each running host soon names only strong hosts to its callers

  Scenario: A host that reaches no other host
    # Guards against a host that is cut off and sends callers to itself alone.
    Given a tier of 71 hosts, of which the 6 strong ones are active
    When a weak host is cut off from all others
    And 3000 ms pass
    Then that host still names the strong hosts to its callers

  Scenario: A standby host is asked again a moment later
    # Guards against a host that forgets at its next check what it has just found out, and makes
    # each caller wait for probes.
    Given a tier of 71 hosts, of which the 6 strong ones are active
    When the strong hosts lose power
    And 800 ms pass
    Then each running host soon names at least 4 running hosts of 3 zones to its callers, and no lost one
    And for 700 ms after that it does so without another probe

  Scenario Outline: A change of the leader
    # Guards against hundreds of hosts that all connect to the active hosts while these elect.
    Given a tier of <hosts> hosts, of which the <strong> strong ones are active
    When the leader is killed, and another one is followed 600 ms later
    Then no host was connected to more than <connections> times

    Examples:
      | hosts | strong | connections |
      | 11    | 3      | 0           |
      | 71    | 6      | 16          |
      | 410   | 6      | 16          |
