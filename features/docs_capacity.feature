Feature: The capacity page and the bench that it comes from

  Scenario: A slope is the line through the measured points
    Then a capacity slope through 1, 3 and 6 at the values 12, 16 and 22 is 10 + 2 x
    And a capacity slope through two points is refused

  Scenario: The page has a line for every limit that the bench knows
    Then docs/CAPACITY.md shows the same limits as the capacity bench, each with a verdict

  Scenario Outline: A limit is met up to its value and not beyond
    Then a capacity goal of <value> against 1.0 is "<verdict>"

    Examples:
      | value | verdict |
      | 0.5   | met     |
      | 1.0   | met     |
      | 1.01  | missed  |
      | inf   | missed  |
