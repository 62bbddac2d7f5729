Feature: The capacity page agrees with the capacity benchmark

  Scenario: A slope is fitted as a line through the measured points
    Then a capacity slope through 1, 3 and 6 at the values 12, 16 and 22 is 10 + 2 x
    And a capacity slope through two points is rejected

  Scenario: The page has a line for every limit of the capacity benchmark
    Then docs/CAPACITY.md lists the limits of the capacity benchmark, each with the right verdict

  Scenario Outline: A limit is met by values up to and including the limit
    Then a capacity goal of <value> against 1.0 is "<verdict>"

    Examples:
      | value | verdict |
      | 0.5   | met     |
      | 1.0   | met     |
      | 1.01  | missed  |
      | inf   | missed  |
