Feature: Forwarded requests that crash servers

  Scenario: A request that crashed servers is refused by every host
    # A request crashes each server that runs it, and its caller sends it again to any host. Without
    # a common counter, each host would let it crash two more servers.
    Given a node's state and a leader's crash counter
    When request "r1" is lost on server "s1", which then refuses connections, and the host reports
    And request "r1" is lost on server "s2", which then refuses connections, and the host reports
    Then the crash counter refuses "r1" everywhere
    And the host itself refuses "r1" and not "r2"

  Scenario Outline: Faults that are not crashes cause no quarantine
    # Servers lose answers, restart and are lost with their whole zone. A request that was refused
    # for that would be kept from its caller for ten minutes.
    Given a node's state and a leader's crash counter
    When request "r1" encounters <event>
    Then the host itself refuses neither "r1" nor "r2"
    And the crash counter refuses nothing

    Examples:
      | event                                                 |
      | two lost answers on servers that keep running         |
      | a lost answer and a server that accepts no connection |
      | two lost servers after it was answered once           |
      | the loss of four servers at the same moment           |

  Scenario: Crashes far apart and old quarantines are dropped
    Given a node's state and a leader's crash counter
    Then two crashes 61 s apart cause no quarantine, and a quarantine ends after 600 s

  Scenario: A host ends a quarantine by itself
    # The caller is told to retry after ten minutes. Guards against a host that refuses the request
    # forever, because it saw the crashes itself or lost its leader before the quarantine ended.
    Given a node's state and a leader's crash counter
    When request "r1" is lost on server "s1", which then refuses connections, and the host reports
    And request "r1" is lost on server "s2", which then refuses connections, and the host reports
    And the leader reports that "r2" is quarantined, and then stops responding
    Then the host refuses "r1" and "r2" for 590 s and not after 602 s
