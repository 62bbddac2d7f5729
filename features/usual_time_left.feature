Feature: How much of its time a request has used before it arrives

  Scenario Outline: A request with <left> ms left on a route whose callers usually have 2000 ms
    # Guards against one caller with an unusual time that makes the requests of all others seem late,
    # so that their answers leave out parts which were still in time.
    Given a route on which <count> requests had 2000 ms left
    And after them <unusual> requests had <strange> ms left
    When a request with <left> ms left arrives
    Then it has used <used> ms before

    Examples:
      | count | unusual | strange  | left | used |
      | 32    | 0       | 0        | 2000 | 0    |
      | 32    | 0       | 0        | 1700 | 300  |
      | 32    | 1       | 86400000 | 2000 | 0    |
      | 32    | 3       | 86400000 | 1700 | 300  |
      | 32    | 20      | 1500     | 1700 | 300  |
      | 0     | 0       | 0        | 1700 | 0    |
      | 32    | 32      | 1000     | 1000 | 0    |
