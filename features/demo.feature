Feature: The demo

  Scenario: The demo checks every answer and says that all were right
    When the demo runs with 3 queries for each upstream
    Then it exits with 0 and its last line is "demo: ok"
