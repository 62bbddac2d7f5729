Feature: Checks of decoded messages

  Scenario Outline: A value that is not of its type is refused, naming the place
    # A process of another version, or a fault, sends fields of other types. Taken as they are, they
    # would break the receiver later, far from the cause.
    Then the value <value> as <type> is refused at "<place>"

    Examples:
      | value                        | type         | place         |
      | 7                            | a record     |               |
      | ["a"]                        | a record     | count         |
      | ["a", "b", null, []]         | a record     | count         |
      | ["a", true, null, []]        | a record     | count         |
      | ["a", 1, 5, []]              | a record     | inner         |
      | ["a", 1, [2], []]        | a record     | inner.y       |
      | ["a", 1, [2, "x"], []]       | a record     | inner.y       |
      | ["a", 1, null, [1, "x"]]     | a record     | numbers.1     |
      | ["a", 1, null, [], 9]        | a record     |               |

  Scenario Outline: A value of its type is taken as such
    Then the value <value> as <type> is taken as <shown>

    Examples:
      | value                  | type     | shown                                                               |
      | ["a", 1, null, []]     | a record | Record(name='a', count=1, inner=None, numbers=())                   |
      | ["a", 1, null]         | a record | Record(name='a', count=1, inner=None, numbers=())                   |
      | ["a", 1, [2, 0.5], []] | a record | Record(name='a', count=1, inner=Inner(x=2, y=0.5), numbers=())      |
      | ["a", 1, null, [1, 2]] | a record | Record(name='a', count=1, inner=None, numbers=(1, 2))               |

  Scenario: Random messages of ours come back as they were
    Then random messages between hosts are the same after encoding and decoding
