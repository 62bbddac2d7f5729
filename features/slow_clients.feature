Feature: Clients that read their answers slowly or not at all

  Scenario Outline: A client reads <rate> bytes a second of an answer of <size> bytes, <every> ms apart
    # Guards against whole answers that are cut although their client reads on, and against clients
    # that hold a connection for hours with a byte now and then.
    Given an answer of <size> bytes, and a client that may take nothing for 3000 ms
    Then reading <rate> bytes a second, a part each <every> ms, the client <result>

    Examples:
      | size    | rate    | every | result                  |
      | 3000000 | 750000  | 90    | gets all                |
      | 3000000 | 20000   | 2900  | gets all                |
      | 3000000 | 750000  | 3100  | is given up at 3000 ms  |
      | 3000000 | 0       | 1000  | is given up at 3000 ms  |
      | 163840  | 1       | 1000  | is given up at 43000 ms |
      | 1000    | 100     | 2000  | is given up at 3244 ms  |

  Scenario Outline: A client may take nothing for <limit> ms, on a connection with segments of <segment> bytes
    # Guards against a client that reads steadily and is given up: the kernel tells it apart from one
    # that reads nothing only once its window has opened by a segment.
    Then a client with segments of <segment> bytes that may take nothing for <limit> ms has <span> ms

    Examples:
      | limit | segment | span  |
      | 3000  | 1448    | 3000  |
      | 3000  | 8948    | 4369  |
      | 3000  | 65483   | 31974 |
      | 3000  | 0       | 3000  |

  Scenario Outline: Clients that hold <held> MB, where 10 are allowed, took bytes <ago> ms ago
    # Guards against memory that grows with each client that asks for a large answer and reads
    # nothing, and against a client that reads and is ended for the sake of another.
    Given clients that hold <held> MB and took bytes <ago> ms ago, where 10 MB are allowed
    Then those that hold <ended> MB are given up, and the host is full: <full>

    Examples:
      | held    | ago                 | ended | full |
      | 4, 4    | 9000, 9000          | none  | no   |
      | 4, 4, 4 | 4000, 9000, 3500    | 4     | yes  |
      | 4, 5, 6 | 4000, 5000, 9000    | 6     | yes  |
      | 4, 3, 6 | 5000, 4000, 100     | 4     | yes  |
      | 1, 9, 6 | 9000, 4000, 100     | 1, 9  | yes  |
      | 6, 6, 6 | 2999, 500, 100      | none  | yes  |

  Scenario: A large answer is read for longer than a client may take nothing
    # Guards against an answer whose time is limited as a whole: 3 MB at 750 kB/s never arrived.
    Given a server of answers of 3000000 bytes, whose clients may take nothing for 1000 ms
    When a client reads 750000 bytes a second
    Then it gets the whole answer
    And no answer was cut, and no bytes are held

  Scenario: A large answer is read while the server stops
    # Guards against a stop that cuts an answer although there is time to write it.
    Given a server of answers of 3000000 bytes, whose clients may take nothing for 1000 ms
    When a client reads 1500000 bytes a second and the server is told to end after 4000 ms
    Then it gets the whole answer
    And no answer was cut, and no bytes are held

  Scenario: A client that reads nothing when the server stops
    # Guards against a stop that waits for clients that take nothing.
    Given a server of answers of 3000000 bytes, whose clients may take nothing for 60000 ms
    When a client reads 0 bytes a second and the server is told to end after 600 ms
    Then it is given up as the server ends
    And one answer was cut, and no bytes are held

  Scenario: Many clients ask for large answers and read nothing, beside one that reads
    # Guards against a host that ends as its memory is used up by clients that read nothing.
    Given a server of answers of 3000000 bytes, whose clients may take nothing for 60000 ms
    And answers that wait for clients may hold 20000000 bytes
    When 12 clients read nothing and one reads 750000 bytes a second
    Then the one that reads gets the whole answer
    And no more than 23000000 bytes were held, and 20000000 at the end at most

  Scenario: A request comes while the answers that wait hold all that they may
    # Guards against memory that grows although clients that have just begun can't be given up yet.
    Given a server of answers of 3000000 bytes, whose clients may take nothing for 60000 ms
    And answers that wait for clients may hold 2000000 bytes
    When a client reads nothing and another sends a request at once
    Then the other gets a whole 503 that says that the request has not run

  Scenario: A client that reads slowly asks again shortly before the server ends
    # Guards against an answer that is begun and cut by the end, as it takes long to read.
    Given a server of answers of 3000000 bytes, whose clients may take nothing for 1000 ms
    When a client that read an answer at 3000000 bytes a second asks again 300 ms before the end
    Then the second request gets a whole 503 that says that it has not run

  Scenario: A client that reads slowly comes on another connection shortly before the server ends
    # Guards against the same at a stop, which closes each connection after its answer: the next one
    # has no history of its own.
    Given a server of answers of 3000000 bytes, whose clients may take nothing for 1000 ms
    When a client that read an answer at 3000000 bytes a second connects again 300 ms before the end
    Then the second request gets a whole 503 that says that it has not run
