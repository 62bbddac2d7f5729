Feature: Entries and control hosts over real links

  Scenario: A partitioned entry stops serving before a change is reported as in force
    # The entry's host can't reach control any more, but callers still reach the entry. If it
    # continued to serve, they would get answers under rules that an operator has replaced, after
    # the operator was told that the replacement is in force.
    Then a change is in force only after the partitioned entry has stopped serving

  Scenario: A control host's connection goes silent
    # A network device between entry and control host drops the state of the connection: it is not
    # closed, but nothing arrives any more. An entry that waited on it would lose its lease and
    # refuse its callers.
    Then an entry whose connection goes silent keeps its lease through another control host

  Scenario Outline: A booking is resent to another entry
    # The answer or the entry is lost, and the caller sends the same booking to the next address.
    Then a booking resent to another entry after "<event>" gets the status "<status>"

    Examples:
      | event                                      | status          |
      | the first entry still runs it              | in_progress     |
      | its outcome was stored                     | stored          |
      | its outcome was stored and the leader died | stored          |
      | the first entry died                       | outcome_unknown |
      | the first entry released it                | granted         |
      | its caller disconnected during the claim   | granted         |

  Scenario: A planned stop of an entry reaches all entries, and its share goes to the others
    # An entry that is about to refuse requests must not be advertised to callers.
    Then a planned stop is shown at every entry, and after deregistration the others have its share

  Scenario: An entry restarts under the same name
    # The old process may still hold connections and claims until its lease expires.
    Then a restarted entry gets its lease only after the old process's lease has expired

  Scenario: Every control host is replaced, one after the other
    # Each disk fails about once a year, and each repair replaces a control host by one at a new
    # address, while the entry keeps running. In the end its settings name only hosts that no longer
    # exist. If it knew no others, it would lose its lease permanently, although all control hosts
    # are healthy.
    Then an entry keeps its service after all control hosts of its settings were replaced

  Scenario Outline: Which control host an entry tries next
    # The list that control announced can be wrong: its hosts may be gone or unreachable. Therefore
    # the hosts of the settings are still tried, but only after the announced ones, so that they do
    # not delay a renewal while the list is right.
    Given an entry with the control hosts "<configured>" to which control announced "<announced>"
    Then while none of them grants a lease, the next ones tried are "<tried>"

    Examples:
      | configured | announced | tried           |
      | a b c      | -         | a b c a b c     |
      | a b c      | a b c     | a b c a b c     |
      | a b c      | b c d     | b c d a b c d a |
      | a b        | d e       | d e a b d e a b |
      | a          | d         | d a d a         |

  Scenario: A list of control hosts that is too long
    # The list is bounded only by the number of names ever used. Trying too many dead hosts one
    # after the other would take longer than the lease.
    Given an entry with the control hosts "a" to which control announced 100 others
    Then it keeps 16 of them and still tries "a"
