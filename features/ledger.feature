Feature: The run ledger

  Scenario: No request runs twice, whatever dies or arrives late
    # Callers resend a booking at other entries because an answer was lost. Claims are applied twice
    # or late, their answers get lost, entries die and restart, control restarts from a snapshot.
    # A second run would air a commercial twice, or send two robots to one room.
    Then no request runs twice under 400 random schedules
    And no request runs twice in 300 schedules of resends

  Scenario Outline: What a resend is told
    # A caller that has lost the answer sends its booking again, at another entry.
    Given a booking that entry A claimed and that <history>
    When the booking is sent again at entry B
    Then the ledger answers "<status>"

    Examples:
      | history                                        | status          |
      | still runs                                     | in_progress     |
      | has its outcome stored                         | stored          |
      | has an outcome too large to be kept            | outcome_unknown |
      | lost its entry, whose lease has run out        | outcome_unknown |
      | lost its entry, which told its outcome later   | stored          |
      | lost its entry, which restarted as a new run   | outcome_unknown |
      | was released as not sent                       | granted         |
      | was stored before control restarted            | stored          |
      | is older than the horizon                      | too_old         |
      | was dropped for room                           | too_old         |

  Scenario Outline: What an odd claim is told
    Given a booking that entry A claimed and that still runs
    When a claim comes that <oddity>
    Then the ledger answers "<status>"

    Examples:
      | oddity                                      | status         |
      | has the id with another body                | reused         |
      | has the same token because its answer was lost | granted     |
      | is of an entry process without a lease      | not_registered |
      | has an id made two hours ago                | too_old        |
      | is of another caller with the same id       | granted        |

  Scenario: A claim that arrives after its own release is not granted
    # The claim waits in a silent connection while the entry gives up and releases it through
    # another control host. Granted after that, it would have no holder, and the caller's next try
    # would be told "in progress" for as long as the entry lives.
    Given a booking whose release came before its claim
    Then the late claim is told "withdrawn" and a new one "granted"

  Scenario Outline: A copy of a claim that was turned away is not granted later
    # An entry asked twice, because the first answer was slow, and got its answer to the second copy:
    # another sending has the claim. That one is taken back, and then the first copy arrives. Granted
    # now, it would have no holder, and every resend would be told "in progress" until that entry
    # restarts.
    Given a booking that entry A claimed and that <history>
    When a claim of entry B is turned away, A takes its own back, and a copy of B's claim arrives
    Then the ledger answers "withdrawn"

    Examples:
      | history                                 |
      | still runs                              |
      | lost its entry, whose lease has run out |

  Scenario: A release that arrives after the horizon does not free the id
    # One sending of a booking was released, but its release is stuck on the way; another sending
    # ran. An hour later the record is dropped and the release arrives. Taken as the first word
    # about the id, it would let the next resend run a second time.
    Given a booking that ran while the release of its first sending was on the way
    When the release arrives after the horizon and the booking is sent again at entry B
    Then the ledger answers "too_old"

  Scenario: A ledger without room refuses rather than forget
    # Forgetting an id too early would let its resend run a second time.
    Given a ledger whose records are all in progress and fill it
    When one more booking is claimed
    Then the ledger answers "full"
