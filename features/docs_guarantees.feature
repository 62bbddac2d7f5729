Feature: The page of guarantees names tests that exist

  Scenario: Each feature that the page names is there
    Then each feature named by the page of guarantees exists
