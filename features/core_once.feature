Feature: Requests that run at most once

  Scenario Outline: Nothing is sent unless the claim was granted
    # A dispatch is sent twice by a kitchen that lost its answer. Only the ledger knows whether the
    # first sending ran, so its word comes before any byte goes out.
    Given a dispatch that waits for its claim
    When the ledger answers "<claim>"
    Then <attempts> attempts of the dispatch are out
    And its caller is told "<told>"
    And the dispatch is recorded as "<recorded>"

    Examples:
      | claim           | attempts | told               | recorded |
      | granted         | 1        | nothing yet        | nothing  |
      | in_progress     | 0        | in_progress        | nothing  |
      | outcome_unknown | 0        | outcome_unknown    | nothing  |
      | id_reused       | 0        | request_id_reused  | nothing  |
      | id_too_old      | 0        | request_id_too_old | nothing  |
      | unavailable     | 0        | ledger_unavailable | not_run  |

  Scenario Outline: What follows an attempt of a dispatch
    # A booking that a station may have taken must not be sent to another server; one that was
    # certainly not taken may.
    Given a dispatch that was sent
    When its attempt ends as "<fault>"
    Then <attempts> attempts of the dispatch are out
    And its caller is told "<told>"
    And the dispatch is recorded as "<recorded>"

    Examples:
      | fault        | attempts | told            | recorded |
      | not_sent     | 1        | nothing yet     | nothing  |
      | shed         | 1        | nothing yet     | nothing  |
      | draining     | 1        | nothing yet     | nothing  |
      | version_gone | 1        | nothing yet     | nothing  |
      | lost         | 0        | outcome_unknown | unknown  |
      | silent       | 0        | outcome_unknown | unknown  |
      | garbage      | 0        | outcome_unknown | unknown  |
      | wrong_answer | 0        | outcome_unknown | unknown  |
      | failed       | 0        | upstream_failed | ran      |
      | refused      | 0        | upstream_failed | ran      |

  Scenario: When no server takes it, the claim is released and the caller told "not run"
    Given a dispatch that was sent
    When all its attempts end as "shed"
    Then its caller is told "upstream_refused"
    And the dispatch is recorded as "not_run"

  Scenario: A resend gets the stored answer
    Given a dispatch that was sent
    When it is answered and sent again with the same id
    Then the resend gets the same answer without an attempt

  Scenario: A claim that is granted too late is released and nothing is sent
    # The ledger is slow and the caller has been told that nothing ran. Sent now, the robot would
    # come although the guest has been told otherwise.
    Given a dispatch that waits for its claim
    When its deadline passes
    Then its caller is told "ledger_unavailable"
    When the ledger answers "granted"
    Then 0 attempts of the dispatch are out
    And the dispatch is recorded as "not_run"

  Scenario Outline: A caller that leaves does not lose the outcome
    # The kitchen's connection drops. The dispatch must not be cut off half way, and the resend must
    # find out how it went.
    Given a dispatch that <state>
    When its caller leaves and it goes on
    Then <sent> attempts of the dispatch were ever sent
    And the dispatch is recorded as "<recorded>"

    Examples:
      | state               | sent | recorded |
      | waits for its claim | 0    | not_run  |
      | was sent            | 1    | ran      |

  Scenario: A deadline while it runs tells the truth and still records the outcome
    Given a dispatch that was sent
    When its deadline passes
    Then its caller is told "outcome_unknown"
    And 1 attempts of the dispatch are out
    When its attempt is answered
    Then the dispatch is recorded as "ran"

  Scenario: An outcome that never comes is recorded as unknown
    Given a dispatch that was sent
    When its deadline and a further minute pass
    Then the dispatch is recorded as "unknown"
    And 0 attempts of the dispatch are out

  Scenario: The key decides the shard
    Then dispatches of one key go to one shard and all shards get some, at any entry

  Scenario: At most once and never "not run" when it may have run, in any order of events
    Then no dispatch is ever with two servers that may run it, for any order of events
