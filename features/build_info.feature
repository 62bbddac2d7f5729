Feature: A process says which build it is

  Scenario: The build of the deploy file
    # Guards against an old copy that runs unnoticed: whoever sees a fault could not tell whether the
    # process had the mended code.
    Given a copy of the package as the deploy file builds it
    Then its stamp has the checksum of the sources

  Scenario Outline: Sources of which <what>
    Given a stamp of the package
    When <what>
    Then the checksum of the sources is <result>

    Examples:
      | what                        | result      |
      | nothing has changed         | the same    |
      | one module has changed      | another one |
      | one module has another name | another one |
      | a compiled file was added   | the same    |

  Scenario: A node from such a copy
    # Guards against a stamp that is written and never shown.
    Given a copy of the package as the deploy file builds it
    When a node of the copy can't read its settings
    Then its first log line names the checksum

  Scenario: The command of operators
    When alderhatchctl is asked for its version
    Then it names the checksum of the package
