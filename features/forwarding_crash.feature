Feature: Forwarded requests that crash servers

  Scenario: A request that crashed servers is refused by every host
    # One request makes each server that runs it end. Its caller sends it again, to whatever host it
    # likes. Without a common count each host would let it take two servers more.
    Given a node's beliefs and a leader's tally
    When request "r1" is lost on server "s1", which then takes no connection, and the host reports
    And request "r1" is lost on server "s2", which then takes no connection, and the host reports
    Then the tally refuses "r1" everywhere
    And the host itself refuses "r1" and not "r2"

  Scenario Outline: What is no crash keeps nobody out
    # Servers lose answers, restart and are lost with their whole zone. A request that was refused for
    # that would be kept from its caller for ten minutes.
    Given a node's beliefs and a leader's tally
    When request "r1" meets <trouble>
    Then the host itself refuses neither "r1" nor "r2"
    And the tally refuses nothing

    Examples:
      | trouble                                                  |
      | two lost answers on servers that go on                   |
      | a lost answer and a server that takes no connection      |
      | two lost servers after it was answered once              |
      | the loss of four servers at the same moment              |

  Scenario: Crashes far apart, and an old quarantine, are forgotten
    Given a node's beliefs and a leader's tally
    Then two crashes 61 s apart refuse nothing, and a quarantine is over after 600 s

  Scenario: A host lifts a quarantine by itself
    # Its caller is told to come back after ten minutes. A host that crashed the servers itself refused
    # the request ever after, and one that lost its leader meanwhile was told no end of it.
    Given a node's beliefs and a leader's tally
    When request "r1" is lost on server "s1", which then takes no connection, and the host reports
    And request "r1" is lost on server "s2", which then takes no connection, and the host reports
    And the leader says that "r2" is quarantined, and is heard of no more
    Then the host refuses "r1" and "r2" for 590 s and not after 602 s
