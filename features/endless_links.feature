Feature: Bytes without end on a link end at most that link

  Scenario Outline: Someone who connects to the port for links sends <what> without end
    # Guards against anyone who reaches the port, and fills the memory of the host.
    Given a port for links
    When a peer that has not proved who it is sends <what> without end
    Then its connection is closed, and memory for a few messages was needed
    And another peer got its answer meanwhile

    Examples:
      | what                        |
      | noise                       |
      | header lines                |
      | a header line               |
      | fragments                   |
      | empty fragments             |
      | a frame of 1 TB             |
      | messages of 1 MB            |

  Scenario Outline: A host sends <what> without end over its link
    # Guards against a host that has gone wrong, and takes another one with it.
    Given a port for links
    When a host that has proved who it is sends <what> without end
    Then its connection is closed, and memory for a few messages was needed
    And another peer got its answer meanwhile

    Examples:
      | what             |
      | noise            |
      | fragments        |
      | empty fragments  |
      | a frame of 1 TB  |
      | unknown messages |

  Scenario Outline: A host that is asked for a link answers with <kind> without end, <pace>
    # Guards against a link that is awaited for ever, from a host that has gone wrong.
    Given a host whose port for links answers with <kind> without end, <pace>
    When a link to it is opened
    Then it is reported as closed, its connection too, and memory for a few messages was needed

    Examples:
      | kind                | pace           |
      | a status line       | at full speed  |
      | header lines        | at full speed  |
      | 1xx answers         | at full speed  |
      | a body to the close | at full speed  |
      | tiny chunks         | at full speed  |
      | noise               | at full speed  |
      | header lines        | piece by piece |
      | a body to the close | piece by piece |
      | noise               | piece by piece |
