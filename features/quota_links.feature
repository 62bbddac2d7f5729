Feature: Hosts charge the owners of quotas over links

  Background:
    Given an owner of a quota with 10 tokens and no refill, and another host, with a link between them

  Scenario: Requests beyond the quota are refused at once, as not run
    # Guards against callers that wait for a token until their deadline.
    When 14 requests of its organisation arrive at the other host
    Then 10 are admitted, and 4 refused as "caller_limit" with different times to return
    And the log tells once that "exhausted" refused 4 requests of "acme", with the owner and 0 tokens
    And one link was opened

  Scenario: An organisation without a quota causes no message
    When 14 requests of an organisation without a quota arrive at the other host
    Then 14 are admitted, and no link was opened

  Scenario: Requests run ahead of the owner's confirmation, and are charged
    When 2 requests arrive one after the other at the other host
    Then the last of them ran ahead, and the owner has counted 2

  Scenario: A caller that leaves while its request waits returns its token
    When a request waits for a token of a slow owner, and its caller leaves
    Then the owner has counted 0

  Scenario: An owner that answers nothing
    # Guards against callers that wait for an owner that is frozen.
    Given the owner answers nothing
    When 5 requests arrive one after the other at the other host
    Then 1 are admitted by the reserve, and 4 refused as "caller_limit" with different times to return
    And the log tells once that "no_owner" refused 4 requests of "acme", with the owner and no tokens

  Scenario: An owner that can't be reached
    Given the owner is gone
    When 5 requests arrive one after the other at the other host
    Then 1 are admitted by the reserve, and 4 refused as "caller_limit" with different times to return

  Scenario: A link that is lost with a charge counts it once
    # Guards against a request that is counted twice, or not at all. Requests wait for their tokens
    # as long as it takes here; one that waits too long uses the reserve, which no owner counts.
    When a request has run ahead, and the link is lost before the answer
    And the link is open again
    Then the owner has counted 2

  Scenario: An owner that leaves the list hands its balance over
    # Guards against callers that are refused until the former owner's lease has run out.
    When 4 requests of its organisation arrive at the other host
    And the owner leaves the list of hosts
    Then the other host is the owner, with 6 tokens

  Scenario Outline: Invalid messages close the link and change nothing
    When the owner receives <what>
    Then the link is closed, the log names the field "<field>", and the owner has counted 0

    Examples:
      | what                                     | field                     |
      | a negative number of runs                | QuotaCharges.ran          |
      | a number of runs that is text            | QuotaCharges.charges.0.ran |
      | an epoch that is NaN                     | QuotaCharges.charges.0.epoch |
      | a balance that is NaN                    | HandedBalances.balances.0.tokens |
      | a balance of an unknown organisation     | HandedBalances.organisation |
      | an answer                                | QuotaAnswers.type         |
      | a charge from a host that isn't listed   | QuotaCharges.sender       |

  Scenario Outline: Invalid answers close the link and admit nothing
    When the owner answers with <what>
    Then the request is not admitted by the answer, and the log names the field "<field>"

    Examples:
      | what                       | field                    |
      | more tokens than asked for | QuotaAnswers.granted     |
      | another organisation       | QuotaAnswers.organisation |
      | a balance that is NaN      | QuotaAnswers.answers.0.balance |
      | a time below 0             | QuotaAnswers.retry_after |
