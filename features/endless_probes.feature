Feature: Answers to health probes without end

  Scenario Outline: A server answers its health probes with <kind> without end, <pace>
    # Guards against a probe that never ends, after which the server isn't probed any more, and
    # against a server that passes for a sound one.
    Given a server whose health is <kind> without end, <pace>
    When it is probed until it has been reported
    Then it is reported as unreachable, and all connections of its probes were closed

    Examples:
      | kind                | pace           |
      | a status line       | at full speed  |
      | header lines        | at full speed  |
      | 1xx answers         | at full speed  |
      | a body of 1 TB      | at full speed  |
      | a body to the close | at full speed  |
      | tiny chunks         | at full speed  |
      | chunk extensions    | at full speed  |
      | trailers            | at full speed  |
      | noise               | at full speed  |
      | header lines        | piece by piece |
      | 1xx answers         | piece by piece |
      | a body to the close | piece by piece |
      | noise               | piece by piece |
