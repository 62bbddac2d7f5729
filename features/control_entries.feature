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

  Scenario: Every control host is replaced, one after the other
    # Within a year each disk fails once, and each repair brings a host at a new address. The entry
    # runs on meanwhile, with settings that name hosts of which none is left. With the last of them
    # it would lose its lease for good, although all control hosts are well.
    Then an entry goes on after all the control hosts of its settings were replaced

  Scenario Outline: Which control host an entry tries next
    # A list that an entry was told can be wrong: what it names may be gone, or cut off. The hosts
    # of its settings must not be forgotten over it, and must not cost the lease while it is right.
    Given an entry with the control hosts "<configured>" that was told of "<told>"
    Then while none of them grants a lease, the next ones tried are "<tried>"

    Examples:
      | configured | told  | tried                 |
      | a b c      | -     | a b c a b c           |
      | a b c      | a b c | a b c a b c           |
      | a b c      | b c d | b c d a b c d a       |
      | a b        | d e   | d e a b d e a b       |
      | a          | d     | d a d a               |

  Scenario: A list of control hosts that is too long
    # Nothing bounds it but the number of names ever used. Tried one after the other, too many dead
    # ones would cost the lease.
    Given an entry with the control hosts "a" that was told of 100 others
    Then it remembers 16 of them and still tries "a"
