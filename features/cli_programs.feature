Feature: The programs check their settings, log JSON and stop gracefully

  Scenario: An entry serves from start to planned stop
    Given a running tier of 0 control hosts and 1 entry
    When a caller queries the tier for towels
    Then the command ends with exit code 0
    And the command printed the error "coverage 1.0000"
    And the program "entry-1" ends with exit code 0 after SIGTERM
    And the log of "entry-1" has the events "entry_started, entry_stopping, entry_stopped" as JSON

  Scenario Outline: A program does not start with invalid settings
    When the program "<program>" is started with a settings file with two errors
    Then the program ends with exit code 3
    And the program printed both errors with their lines

    Examples:
      | program |
      | entry   |
      | control |

  Scenario: An entry does not start with an invalid rules file
    When an entry is started alone with a rules file with two errors
    Then the program ends with exit code 3
    And the program printed both errors with their lines

  Scenario: An address in use is reported without a traceback
    # Another process, such as an earlier instance of the entry, still listens on the port. A
    # traceback would make this look like a fault in the code.
    Given a running tier of 0 control hosts and 1 entry
    When the entry "entry-1" is started a second time
    Then the program ends with exit code 10
    And the program logged "program_cannot_start" with "in use" and no traceback

  Scenario: Settings can be checked on their host without starting the program
    Given a running tier of 0 control hosts and 1 entry
    When the settings of "entry-1" are checked by their program
    Then the program ends with exit code 0

  Scenario: A stand-in upstream prints its addresses
    When the stand-in upstream is started with 3 shards of 2 servers
    Then it prints 6 servers with their ports and ends with exit code 0 after SIGTERM

  Scenario: A stand-in upstream does not start with an invalid fault script
    When the stand-in upstream is started with a fault script with two errors
    Then the program ends with exit code 3
    And the program printed both errors with their lines
