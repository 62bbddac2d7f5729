Feature: Leases of entries

  Scenario: Whatever is lost, late or overtaken, leases keep their promises
    # Renewals and grants get lost, arrive late, or overtake each other on their way through another
    # control host; entries die and restart; clocks run at different rates; leaders change. If a
    # lease outlived its promise, an operator would be told that a change is in force while an entry
    # still answers by the old rules, or servers would refuse connections because two entries use
    # the same share.
    Then leases keep their promises under 300 random schedules
    And leases keep their promises in 150 spells of bad weather

  Scenario Outline: An entry serves only on a live lease
    # The lease counts from when the renewal was sent. Counted from when the grant came, a grant
    # that was delayed on its way would let the entry serve on after control took it for dead.
    Given a lease of 3000 ms whose renewal was sent at 1000 ms and answered at <answered> ms
    Then the lease says "<may>" at <now> ms

    Examples:
      | answered | now  | may   |
      | 1010     | 1011 | serve |
      | 1010     | 3999 | serve |
      | 1010     | 4000 | stop  |
      | 3500     | 3999 | serve |
      | 3500     | 4001 | stop  |
      | 5000     | 5000 | stop  |

  Scenario Outline: A grant that may be out of date gives no lease
    # A leader that was cut off goes on answering for a moment, and an old answer can wait in a
    # socket. Taken at its word, it would hand out rules that have been replaced.
    Given a lease held in term 5 at version 7
    When a grant comes that <fault>
    Then the lease takes it as "<taken>" and its end is unchanged

    Examples:
      | fault                              | taken     |
      | answers an earlier renewal         | ignored   |
      | is of term 4                       | ignored   |
      | is at version 6                    | went_back |
      | lacks the updates to its version   | behind    |
      | says that it is not registered yet | pending   |

  Scenario: News that are pushed overtake a grant
    # A quarantine is pushed to entries as soon as it is on the log. A grant that was decided just
    # before comes after it. Taken for control that has lost its state, it would cost the entry its
    # link each time that something is quarantined.
    Given a lease held in term 5 at version 7
    When news of version 8 are pushed before the answer to a renewal at version 7
    Then the lease takes it as "renewed" and has version 8
    When news that do not follow on it are pushed
    Then the lease has version 8 and no news

  Scenario: A new leader waits out what its predecessor may have granted
    # The old leader is gone, and with it its table of leases. An entry that only the old leader
    # could reach may still serve by the old rules for as long as its lease lasts.
    Given an entry with a lease of the leader before
    When a new leader takes over at 10000 ms and nobody renews
    Then it waits for the entry at 13299 ms
    And it takes the lease as run out at 13300 ms and not a second time

  Scenario Outline: Entries are hurried at a pace that control can bear
    # After a power cut hundreds of entries start at once, and each is news to all the others. Told
    # at once every time, they kept the control hosts too busy to grant a lease to any of them.
    Then <entries> entries hurried by news make at most <renewals> renewals a second

    Examples:
      | entries | renewals |
      | 1       | 20       |
      | 12      | 240      |
      | 100     | 500      |
      | 410     | 500      |
