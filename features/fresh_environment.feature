Feature: A newcomer's machine

  Scenario Outline: What the README names works in a fresh copy with an environment of its own
    # Somebody clones the repository on a machine that has nothing of it. A library that is missing
    # from the pinned lists, or a file that was never committed, is noticed by nobody who has worked
    # here before.
    Given a copy of the committed files in a folder of its own
    When "make <words>" runs there
    Then it ends with exit code 0 and its last line is "<last>"

    Examples:
      | words                                | last               |
      | demo                                 | demo: ok           |
      | test FEATURES=features/rules.feature | 25 passed, 0 failed |
