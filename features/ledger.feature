Feature: Run ledger

  Scenario: No non-idempotent request runs twice despite crashes, delays and lost answers
    # A caller that lost an answer resends its booking to another entry. Claims are applied twice or
    # late, their answers are lost, entries crash and restart, control restarts from a snapshot.
    # A second run would air a commercial twice, or send two robots to one room.
    Then no request runs twice in 400 random schedules
    And no request runs twice in 300 random schedules of resends

  Scenario Outline: The answer to a resend
    # A caller that lost the answer resends its booking to another entry.
    Given a booking that entry A claimed and that <history>
    When the booking is resent to entry B
    Then the ledger answers "<status>"

    Examples:
      | history                                        | status          |
      | is still running                               | in_progress     |
      | has its outcome stored                         | stored          |
      | has an outcome too large to be stored          | outcome_unknown |
      | lost its entry, whose lease has expired        | outcome_unknown |
      | lost its entry, which stored an outcome later  | stored          |
      | lost its entry, which restarted                | outcome_unknown |
      | was released as not sent                       | granted         |
      | was stored before control restarted            | stored          |
      | is older than the horizon                      | too_old         |
      | was evicted because the ledger was full        | too_old         |

  Scenario Outline: The answer to an unusual claim
    Given a booking that entry A claimed and that is still running
    When a claim arrives that <property>
    Then the ledger answers "<status>"

    Examples:
      | property                                       | status         |
      | has the same id but another body               | reused         |
      | has the same token because its answer was lost | granted        |
      | is from an entry process without a lease       | not_registered |
      | has an id created two hours ago                | too_old        |
      | is from another caller with the same id        | granted        |

  Scenario: A claim that arrives after its own release is not granted
    # The claim is delayed in a stalled connection while the entry gives up and releases it through
    # another control host. If it were granted after that, it would have no holder, and a resend
    # would get "in progress" until the entry restarts.
    Given a booking whose release arrived before its claim
    Then the late claim gets "withdrawn" and a new one gets "granted"

  Scenario Outline: A delayed copy of a refused claim is not granted later
    # An entry sent a claim twice because the first answer was slow. The second copy was refused, as
    # another attempt held the claim. That attempt releases it, and then the first copy arrives. If
    # it were granted now, it would have no holder, and every resend would get "in progress" until
    # that entry restarts.
    Given a booking that entry A claimed and that <history>
    When a claim of entry B is refused, A releases its claim, and a copy of B's claim arrives
    Then the ledger answers "withdrawn"

    Examples:
      | history                                 |
      | is still running                        |
      | lost its entry, whose lease has expired |

  Scenario: A release that arrives after the horizon does not free the id
    # The release of a booking's first attempt is delayed, and another attempt runs. An hour later
    # the record is dropped and the release arrives. If it created a new record for the id, the next
    # resend would run a second time.
    Given a booking that ran while the release of its first attempt was in transit
    When the release arrives after the horizon and the booking is resent to entry B
    Then the ledger answers "too_old"

  Scenario: A full ledger refuses new claims instead of dropping records
    # If the record of an id were dropped too early, its resend would run a second time.
    Given a ledger full of records in progress
    When one more booking is claimed
    Then the ledger answers "full"
