Feature: Odd inputs at a border of the tier harm nobody

  Scenario Outline: Inputs of a seed at the border <border>
    # Guards against text or figures from outside that raise an error which nobody expects, so that
    # more ends than the entry, the answer or the connection that they came in: callers would lose
    # requests, orders would run twice, sound servers would get no traffic.
    Given a platform tier of 4 hosts with traffic
    When odd inputs of seed <seed> reach its border <border> for <seconds> seconds
    Then no input has done harm

    Examples:
      | border    | seed | seconds |
      | list      | 1    | 14      |
      | answers   | 1    | 12      |
      | callers   | 1    | 10      |
      | operators | 1    | 10      |
      | hosts     | 1    | 10      |
