Feature: What a host that is stopping still runs

  Scenario Outline: A request on a route that takes <takes>, at <at> ms, when the host ends at 5750 ms
    # Guards against requests that are cut off after they have been passed on to a server, and against
    # quick ones that are refused although there is time for them.
    Given a route whose requests took <takes>
    Then a host that ends at 5750 ms runs a request that arrives at <at> ms: <runs>

    Examples:
      | takes    | at   | runs |
      | 140 ms   | 5000 | yes  |
      | 140 ms   | 5700 | no   |
      | 1900 ms  | 3000 | yes  |
      | 1900 ms  | 3950 | no   |
      | unknown  | 5700 | yes  |
      | unknown  | 5750 | no   |
      | 12000 ms | 0    | no   |
