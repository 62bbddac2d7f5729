Feature: Invalid input from callers

  Scenario Outline: A caller sends <input>
    # A faulty client, a port scanner or an attacker sends bytes that are not a valid request. The
    # entry answers with an error that says what is wrong and that nothing ran, and continues to
    # serve other callers.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry accepts heads of 2048 bytes, bodies of 4096 bytes and requests within 300 ms
    And the entry runs
    When a caller of the entry sends <input>
    Then the caller of the entry is answered <status> with "<error>" and "<ran>"
    And the entry still answers other callers

    Examples:
      | input                           | status | error            | ran     |
      | bytes that are not HTTP         | 400    | bad_request      | not_run |
      | broken JSON                     | 400    | bad_request      | not_run |
      | a list as body                  | 400    | bad_request      | not_run |
      | an empty body                   | 400    | bad_request      | not_run |
      | no request id                   | 400    | bad_request      | not_run |
      | an empty request id             | 400    | bad_request      | not_run |
      | an unknown field                | 400    | bad_request      | not_run |
      | a negative deadline             | 400    | bad_request      | not_run |
      | an unknown priority             | 400    | bad_request      | not_run |
      | a query as text                 | 400    | bad_request      | not_run |
      | JSON nested too deep            | 400    | bad_request      | not_run |
      | an unknown path                 | 404    | not_found        | not_run |
      | a GET of the query path         | 404    | not_found        | not_run |
      | an unknown upstream             | 404    | unknown_upstream | not_run |
      | a body over the limit           | 413    | too_large        | not_run |
      | a body over the limit in chunks | 413    | too_large        | not_run |
      | a head over the limit           | 413    | too_large        | not_run |
      | a head that never ends          | 413    | too_large        | not_run |
      | a head byte by byte, slowly     | 408    | too_slow         | not_run |
      | a body byte by byte, slowly     | 408    | too_slow         | not_run |
      | half a body, then nothing       | 408    | too_slow         | not_run |
      | two different lengths           | 400    | bad_request      | not_run |
      | a length that is not a number   | 400    | bad_request      | not_run |

  Scenario: A request begins shortly before its connection has been idle for too long
    # Guards against a connection that is closed while its request arrives, without an answer, though
    # the caller keeps both limits.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry accepts heads of 4096 bytes, bodies of 4096 bytes and requests within 5000 ms
    And the entry runs
    When the two halves of a request reach the entry after 350 ms each
    Then the caller of the entry is answered with all shards

  Scenario: A caller closes its connection in the middle of its request
    # A client is killed while it sends. No part of the request may run.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs
    When a caller of the entry closes its connection after half of its request
    Then the entry still answers other callers
    And the upstream received only the requests of other callers

  Scenario: More callers connect than the entry accepts
    # A client leaks connections. The entry enforces its limit and continues to serve the open ones.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry accepts 3 connections
    And the entry runs
    When 8 callers connect to the entry and keep their connections open
    Then 3 callers of the entry are still connected
    And a caller of the entry that was connected before is answered

  Scenario: A booking is requested without control hosts
    # Without control hosts there is no ledger that prevents the booking from running twice. The
    # entry refuses it and reports that it did not run.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs
    When a booking is requested from the entry
    Then the booking is answered 503 by the entry with "ledger_unavailable" and "not_run"
    And nothing ran at the upstream

  Scenario: The page of the caller API documents the errors as the code returns them
    # Clients are written from that page. A wrong status or value there would make them handle
    # errors wrongly.
    When the errors on the page of the caller API are read
    Then each of them has the status, ran and resend values of the error table
