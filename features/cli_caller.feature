Feature: alderhatchctl follows the resend advice in the answers to a booking

  Scenario: An earlier attempt of the booking is in progress
    # The answer to a booking was lost and the booking is resent at once, while the first attempt
    # runs or its outcome is not yet in the ledger. If the command gave up, the operator could book
    # a second time.
    Given an entry that answers bookings with "in_progress, in_progress, done"
    When a booking is sent to it with a timeout of 10 s
    Then the command ends with exit code 0
    And the entry received the same request ID 3 times

  Scenario: An earlier attempt of the booking stays in progress past the timeout
    Given an entry that answers bookings with "in_progress"
    When a booking is sent to it with a timeout of 0.2 s
    Then the command ends with exit code 7
    And the command printed the error "in_progress"

  Scenario Outline: A booking with a final answer is not resent
    Given an entry that answers bookings with "<error>, done"
    When a booking is sent to it with a timeout of 10 s
    Then the command ends with exit code <code>
    And the command printed the error "<error>"
    And the entry received the same request ID 1 times

    Examples:
      | error              | code |
      | outcome_unknown    | 7    |
      | upstream_failed    | 4    |
      | request_id_reused  | 4    |
      | request_id_too_old | 7    |
