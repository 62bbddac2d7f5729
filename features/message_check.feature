Feature: Checks of decoded messages

  Scenario Outline: A value of a wrong type is rejected with the path of the field
    # A process of another version, or a faulty one, sends fields of wrong types. Without a check
    # they would fail later in the receiver, far from the cause.
    Then the value <value> as <type> is rejected at "<path>"

    Examples:
      | value                    | type     | path      |
      | 7                        | a record |           |
      | ["a"]                    | a record | count     |
      | ["a", "b", null, []]     | a record | count     |
      | ["a", true, null, []]    | a record | count     |
      | ["a", 1, 5, []]          | a record | inner     |
      | ["a", 1, [2], []]        | a record | inner.y   |
      | ["a", 1, [2, "x"], []]   | a record | inner.y   |
      | ["a", 1, null, [1, "x"]] | a record | numbers.1 |
      | ["a", 1, null, [], 9]    | a record |           |

  Scenario Outline: A value of the right type is converted
    Then the value <value> as <type> is converted to <result>

    Examples:
      | value                  | type     | result                                                         |
      | ["a", 1, null, []]     | a record | Record(name='a', count=1, inner=None, numbers=())              |
      | ["a", 1, null]         | a record | Record(name='a', count=1, inner=None, numbers=())              |
      | ["a", 1, [2, 0.5], []] | a record | Record(name='a', count=1, inner=Inner(x=2, y=0.5), numbers=()) |
      | ["a", 1, null, [1, 2]] | a record | Record(name='a', count=1, inner=None, numbers=(1, 2))          |

  Scenario: Random messages survive encoding and decoding
    Then random messages between hosts are the same after encoding and decoding
