Feature: alderhatchctl follows what entries answer to a booking

  Scenario: An earlier sending of the booking still runs
    # The answer to a booking was lost and it is sent again at once, while the first sending runs or
    # its outcome is on its way to the ledger. Given up here, somebody would book a second time.
    Given an entry that answers a booking with "in_progress, in_progress, done"
    When a booking is sent to it with 10 s to go
    Then the command ends with exit code 0
    And the entry got the same request id 3 times

  Scenario: An earlier sending of the booking runs on and on
    Given an entry that answers a booking with "in_progress"
    When a booking is sent to it with 0.2 s to go
    Then the command ends with exit code 7
    And the command printed the error "in_progress"

  Scenario Outline: A final answer is not asked for again
    Given an entry that answers a booking with "<error>, done"
    When a booking is sent to it with 10 s to go
    Then the command ends with exit code <code>
    And the command printed the error "<error>"
    And the entry got the same request id 1 times

    Examples:
      | error              | code |
      | outcome_unknown    | 7    |
      | upstream_failed    | 4    |
      | request_id_reused  | 4    |
      | request_id_too_old | 7    |
