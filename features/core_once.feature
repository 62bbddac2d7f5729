Feature: Requests that run at most once

  Scenario Outline: Nothing is sent unless the claim was granted
    # A kitchen loses the answer to a dispatch and resends it. Only the ledger knows whether the first
    # request ran, so its answer must arrive before any byte is sent.
    Given a dispatch that waits for its claim
    When the ledger answers the claim with "<claim>"
    Then <attempts> attempts of the dispatch are in flight
    And its caller gets "<outcome>"
    And the dispatch is recorded as "<recorded>"

    Examples:
      | claim           | attempts | outcome            | recorded |
      | granted         | 1        | nothing yet        | nothing  |
      | in_progress     | 0        | in_progress        | nothing  |
      | outcome_unknown | 0        | outcome_unknown    | nothing  |
      | id_reused       | 0        | request_id_reused  | nothing  |
      | id_too_old      | 0        | request_id_too_old | nothing  |
      | unavailable     | 0        | ledger_unavailable | not_run  |

  Scenario Outline: A failed attempt of a dispatch is retried only if it certainly did not run
    # A booking that a station may have accepted must not be sent to another server.
    Given a dispatch that was sent
    When its attempt ends as "<fault>"
    Then <attempts> attempts of the dispatch are in flight
    And its caller gets "<outcome>"
    And the dispatch is recorded as "<recorded>"

    Examples:
      | fault        | attempts | outcome         | recorded |
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

  Scenario: When no server accepts it, the claim is released and the caller gets "not run"
    Given a dispatch that was sent
    When all its attempts end as "shed"
    Then its caller gets "upstream_refused"
    And the dispatch is recorded as "not_run"

  Scenario: A resend gets the stored answer
    Given a dispatch that was sent
    When it is answered and resent with the same id
    Then the resend gets the same answer without an attempt

  Scenario: A claim that is granted too late is released and nothing is sent
    # The ledger is slow and the caller has been told that the dispatch did not run. If it were sent
    # now, the robot would come although the guest has been told otherwise.
    Given a dispatch that waits for its claim
    When its deadline passes
    Then its caller gets "ledger_unavailable"
    When the ledger answers the claim with "granted"
    Then 0 attempts of the dispatch are in flight
    And the dispatch is recorded as "not_run"

  Scenario Outline: The outcome is recorded even if the caller disconnects
    # The kitchen's connection drops. The dispatch must not be aborted halfway, and a resend must get
    # its outcome.
    Given a dispatch that <state>
    When its caller disconnects and it continues
    Then <sent> attempts of the dispatch were ever sent
    And the dispatch is recorded as "<recorded>"

    Examples:
      | state               | sent | recorded |
      | waits for its claim | 0    | not_run  |
      | was sent            | 1    | ran      |

  Scenario: A dispatch that runs past its deadline is reported as unknown and still recorded
    Given a dispatch that was sent
    When its deadline passes
    Then its caller gets "outcome_unknown"
    And 1 attempts of the dispatch are in flight
    When its attempt is answered
    Then the dispatch is recorded as "ran"

  Scenario: An outcome that never arrives is recorded as unknown
    Given a dispatch that was sent
    When its deadline and a further minute pass
    Then the dispatch is recorded as "unknown"
    And 0 attempts of the dispatch are in flight

  Scenario: The key selects the shard
    Then dispatches with one key go to one shard and every shard gets some, at any entry

  Scenario: At most once and never "not run" when it may have run, in any order of events
    Then at most one server may ever have run a dispatch, for any order of events
