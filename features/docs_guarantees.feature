Feature: Features named by the guarantees page exist

  Scenario: Each feature named by the guarantees page exists
    Then each feature named by docs/GUARANTEES.md exists
