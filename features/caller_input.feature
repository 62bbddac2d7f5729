Feature: Callers that send something else than a request

  Scenario Outline: A caller sends <input>
    # A faulty client, a port scanner or an attacker sends bytes that are no request. The entry says
    # what is wrong in its own words, that nothing ran, and goes on to serve everyone else.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry takes heads of 2048 bytes, bodies of 4096 bytes and requests within 300 ms
    And the entry runs
    When a caller of the entry sends <input>
    Then the caller of the entry is answered <status> with "<error>" and "<ran>"
    And the entry still answers others

    Examples:
      | input                            | status | error            | ran     |
      | no HTTP                          | 400    | bad_request      | not_run |
      | broken JSON                      | 400    | bad_request      | not_run |
      | a list as body                   | 400    | bad_request      | not_run |
      | an empty body                    | 400    | bad_request      | not_run |
      | no request id                    | 400    | bad_request      | not_run |
      | an empty request id              | 400    | bad_request      | not_run |
      | an unknown field                 | 400    | bad_request      | not_run |
      | a negative deadline              | 400    | bad_request      | not_run |
      | a priority that there is not     | 400    | bad_request      | not_run |
      | a query as text                  | 400    | bad_request      | not_run |
      | JSON nested too deep             | 400    | bad_request      | not_run |
      | an unknown path                  | 404    | not_found        | not_run |
      | a GET of the query path          | 404    | not_found        | not_run |
      | an upstream that there is not    | 404    | unknown_upstream | not_run |
      | a body over the limit            | 413    | too_large        | not_run |
      | a body over the limit in chunks  | 413    | too_large        | not_run |
      | a head over the limit            | 413    | too_large        | not_run |
      | a head that never ends           | 413    | too_large        | not_run |
      | a byte of its head now and then  | 408    | too_slow         | not_run |
      | a byte of its body now and then  | 408    | too_slow         | not_run |
      | half a body and nothing more     | 408    | too_slow         | not_run |
      | two lengths that differ          | 400    | bad_request      | not_run |
      | a length that is no number       | 400    | bad_request      | not_run |

  Scenario: A caller closes in the middle of its request
    # A client is killed while it sends. Nothing of the request may run.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs
    When a caller of the entry closes after half of its request
    Then the entry still answers others
    And the upstream received only the requests of others

  Scenario: More callers connect than the entry takes
    # A client leaks connections. The entry keeps the limit and goes on to serve those it has.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry takes 3 connections
    And the entry runs
    When 8 callers connect to the entry and stay
    Then 3 callers of the entry are still connected
    And a caller of the entry that was connected before is answered

  Scenario: A booking is asked for where there are no control hosts
    # The entry runs alone, so there is no ledger that could keep the booking from running twice.
    # The caller is told that it did not run.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs
    When the entry is asked to run a booking
    Then the booking is answered 503 by the entry with "ledger_unavailable" and "not_run"
    And nothing ran at the upstream

  Scenario: The page of the caller API tells errors as the code answers them
    # A caller is written by the page. A status or a word that differs there sends it to wait for
    # the wrong thing.
    When the errors on the page of the caller API are read
    Then each of them has the status, the run and the resend of the table of errors
