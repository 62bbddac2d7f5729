Feature: The operator API

  Scenario Outline: What a key permits
    # A request with a guessed, revoked or read-only key must not change anything.
    When operator "<who>" sends <method> <path> to control
    Then control answers <status> with "<kind>"

    Examples:
      | who     | method | path               | status | kind         |
      | anna    | GET    | /v1/rules          | 200    | -            |
      | monitor | GET    | /v1/rules          | 200    | -            |
      | monitor | POST   | /v1/explain        | 200    | -            |
      | anna    | POST   | /v1/rules          | 200    | -            |
      | monitor | POST   | /v1/rules          | 403    | forbidden    |
      | monitor | POST   | /v1/hosts/e/stop   | 403    | forbidden    |
      | nobody  | GET    | /v1/rules          | 401    | unauthorized |
      | stranger | POST  | /v1/rules          | 401    | unauthorized |
      | anna    | GET    | /v1/unknown        | 404    | not_found    |
      | anna    | DELETE | /v1/rules/x        | 404    | not_found    |
      | nobody  | GET    | /healthz           | 200    | -            |
      | nobody  | GET    | /readyz            | 200    | -            |

  Scenario Outline: A malformed request names its field and changes nothing
    When an operator sends the body <body> to <method> <path>
    Then control answers <status> with "<kind>" at "<field>" and its state is unchanged

    Examples:
      | method | path              | body                                                              | status | kind           | field               |
      | POST   | /v1/rules         | {                                                                 | 400    | bad_request    | body                |
      | POST   | /v1/rules         | []                                                                | 400    | bad_request    | body                |
      | POST   | /v1/rules         | {"change_id": "c", "expected_revision": 0}                        | 400    | bad_request    | rule                |
      | POST   | /v1/rules         | {"expected_revision": 0, "rule": {}}                              | 400    | bad_request    | change_id           |
      | POST   | /v1/rules         | {"change_id": "c", "expected_revision": "0", "rule": {}}          | 400    | bad_request    | expected_revision   |
      | POST   | /v1/rules         | {"change_id": "c", "expected_revision": -1, "rule": {}}           | 400    | bad_request    | expected_revision   |
      | POST   | /v1/rules         | {"change_id": "a b", "expected_revision": 0, "rule": {}}          | 400    | bad_request    | change_id           |
      | POST   | /v1/rules         | {"change_id": "c", "expected_revision": 0, "rule": {}, "x": 1}    | 400    | bad_request    | x                   |
      | POST   | /v1/rules         | {"change_id": "c", "expected_revision": 0, "rule": {"name": "a"}} | 422    | invalid_change | then                |
      | PUT    | /v1/rules         | {"change_id": "c", "expected_revision": 0, "rules": [1]}          | 400    | bad_request    | rules.0             |
      | PUT    | /v1/settings      | {"change_id": "c", "expected_revision": 0, "settings": {}}        | 400    | bad_request    | settings            |
      | PUT    | /v1/settings      | {"change_id": "c", "expected_revision": 0, "settings": {"x": 1}}  | 422    | invalid_change | settings.x          |
      | POST   | /v1/hosts/a/depart | {"change_id": "c", "expected_revision": 0, "role": "robot"}      | 400    | bad_request    | role                |
      | POST   | /v1/hosts/a/repair | {"change_id": "c", "expected_revision": 0, "replacement": {"name": "b", "zone": "z", "address": "host", "port": 1}} | 400 | bad_request | replacement.address |
      | POST   | /v1/rules?wait=rain | {"change_id": "c", "expected_revision": 0, "rule": {"name": "a", "then": {}}} | 400 | bad_request | wait |
      | POST   | /v1/rules?wait=in_force&timeout_ms=0 | {"change_id": "c", "expected_revision": 0, "rule": {"name": "a", "then": {}}} | 400 | bad_request | timeout_ms |
      | POST   | /v1/explain       | {"request": {"priority": "soon"}}                                 | 400    | bad_request    | request.priority    |

  Scenario: A body over the limit is refused
    When an operator sends a body of 2 MiB
    Then control answers 413 with "too_large"

  Scenario Outline: An invalid key file is refused without showing the key
    When the key file has the line "<line>"
    Then it is refused with "<message>" and the key is not shown

    Examples:
      | line                            | message                |
      | anna change                     | expected three words   |
      | anna owner 0123456789abcdefgh   | read or change         |
      | anna change 0123                | under 16 characters    |
