Feature: A fresh environment

  Scenario Outline: Commands of the README work in a fresh copy with a new environment
    # Guards against a library that is missing from the pinned requirements and a file that was
    # never committed. Neither shows in an environment that has been used before.
    Given a copy of the committed files in a new folder
    When "make <arguments>" runs there
    Then it ends with exit code 0 and its last line is "<last>"

    Examples:
      | arguments                            | last               |
      | demo                                 | demo: ok           |
      | test FEATURES=features/rules.feature | 25 passed, 0 failed |
