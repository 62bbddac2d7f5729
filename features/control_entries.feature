Feature: Entries and control over real links

  Scenario: An entry that is cut off stops serving before its change counts as in force
    # The entry's host can't reach control any more, but callers still reach the entry. Served on,
    # they would get answers by rules that an operator has replaced and been told so.
    Then a change is in force only after the entry that is cut off has stopped serving

  Scenario: A control host's connection goes silent
    # Something between entry and control host has lost track of the connection. Nothing is closed,
    # nothing arrives any more. An entry that waits for it loses its lease and refuses its callers.
    Then an entry whose connection goes silent keeps its lease through another control host

  Scenario Outline: A booking is sent again at another entry
    # The caller lost the answer, or the entry, and sends the same booking to the next address.
    Then a booking resent at another entry after "<event>" is told "<status>"

    Examples:
      | event                                     | status          |
      | the first entry still runs it             | in_progress     |
      | its outcome was stored                    | stored          |
      | its outcome was stored and the leader died | stored          |
      | the first entry died                      | outcome_unknown |
      | the first entry released it               | granted         |
      | its caller went away during the claim     | granted         |

  Scenario: A planned stop of an entry reaches all entries, and its share goes to the others
    # Callers must not be told of an entry that is about to refuse them.
    Then a planned stop shows at every entry, and after the goodbye the others have its share

  Scenario: An entry restarts under its name
    # The old process may still hold connections and claims for the rest of its lease.
    Then a restarted entry gets its lease only once the old process's lease has run out
