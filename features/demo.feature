Feature: The demo

  Scenario: The demo checks every answer and succeeds
    When the demo runs with 3 queries for each upstream
    Then it returns exit code 0 and its last line is "demo: ok"
