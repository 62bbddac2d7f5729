Feature: Answers without end

  A server in trouble may send bytes that are no answer, or no end of one, until the caller closes
  the connection. Each read brings something, so no timeout for silence ends it.

  Scenario Outline: A server's answer is <kind> without end, <pace>
    # Guards against bytes that are read until the deadline, or for ever, and against a request that
    # waits for them while another server could answer it.
    Given beside a sound server, one that answers with <kind> without end, <pace>
    When 8 requests that may be sent twice are forwarded to their upstream
    Then the sound server has answered all of them, and the other one got at most 4
    And each connection of the endless server was closed after at most <bytes> kB

    Examples:
      | kind                    | pace            | bytes |
      | a status line           | at full speed   | 8000  |
      | a header line           | at full speed   | 8000  |
      | header lines            | at full speed   | 8000  |
      | 1xx answers             | at full speed   | 8000  |
      | 1xx answers with fields | at full speed   | 12000 |
      | a body of 1 TB          | at full speed   | 8000  |
      | a body to the close     | at full speed   | 12000 |
      | chunks                  | at full speed   | 12000 |
      | tiny chunks             | at full speed   | 8000  |
      | a chunk of 1 TB         | at full speed   | 12000 |
      | a chunk-size line       | at full speed   | 8000  |
      | a chunk extension       | at full speed   | 8000  |
      | chunk extensions        | at full speed   | 16000 |
      | trailers                | at full speed   | 8000  |
      | a trailer               | at full speed   | 8000  |
      | noise                   | at full speed   | 8000  |
      | empty lines             | at full speed   | 8000  |
      | a status line           | piece by piece  | 100   |
      | header lines            | piece by piece  | 100   |
      | 1xx answers             | piece by piece  | 100   |
      | a body of 1 TB          | piece by piece  | 100   |
      | a body to the close     | piece by piece  | 100   |
      | tiny chunks             | piece by piece  | 100   |
      | a chunk-size line       | piece by piece  | 100   |
      | a chunk extension       | piece by piece  | 100   |
      | trailers                | piece by piece  | 100   |
      | noise                   | piece by piece  | 100   |
      | empty lines             | piece by piece  | 100   |

  Scenario Outline: The only server's answer is <kind> without end, <pace>
    # Guards against a caller that waits until its deadline for what can't become an answer.
    Given a server that answers with <kind> without end, <pace>
    When a request that may be sent only once is forwarded, with a deadline of <ms> ms
    Then it fails with <reason>, <when> its deadline
    And each connection of the endless server was closed after at most 16000 kB

    Examples:
      | kind                    | pace            | reason  | when   | ms   |
      | a status line           | at full speed   | failed  | before | 6000 |
      | a header line           | at full speed   | failed  | before | 6000 |
      | header lines            | at full speed   | failed  | before | 6000 |
      | 1xx answers             | at full speed   | failed  | before | 6000 |
      | 1xx answers with fields | at full speed   | failed  | before | 6000 |
      | a body of 1 TB          | at full speed   | failed  | before | 6000 |
      | a body to the close     | at full speed   | failed  | before | 6000 |
      | chunks                  | at full speed   | failed  | before | 6000 |
      | tiny chunks             | at full speed   | failed  | before | 6000 |
      | a chunk of 1 TB         | at full speed   | failed  | before | 6000 |
      | a chunk-size line       | at full speed   | failed  | before | 6000 |
      | a chunk extension       | at full speed   | failed  | before | 6000 |
      | chunk extensions        | at full speed   | failed  | before | 6000 |
      | trailers                | at full speed   | failed  | before | 6000 |
      | a trailer               | at full speed   | failed  | before | 6000 |
      | noise                   | at full speed   | failed  | before | 6000 |
      | empty lines             | at full speed   | failed  | before | 6000 |
      | a body of 1 TB          | piece by piece  | failed  | before | 6000 |
      | noise                   | piece by piece  | failed  | before | 6000 |
      | empty lines             | piece by piece  | failed  | before | 6000 |
      | a status line           | piece by piece  | timeout | at     | 800  |
      | header lines            | piece by piece  | timeout | at     | 800  |
      | 1xx answers             | piece by piece  | timeout | at     | 800  |
      | a body to the close     | piece by piece  | timeout | at     | 800  |
      | tiny chunks             | piece by piece  | timeout | at     | 800  |
      | a chunk extension       | piece by piece  | timeout | at     | 800  |
      | trailers                | piece by piece  | timeout | at     | 800  |

  Scenario: A server sends tiny chunks as fast as it can
    # Guards against a host that does nothing else: one read holds ten thousand of them, and each
    # takes processor time.
    Given a server that answers with tiny chunks without end, at full speed
    When a request that may be sent only once is forwarded, beside a task that runs whenever it may
    Then that task has run at least once in 100 chunks

  Scenario Outline: A sound answer of <what> passes the limits
    # Guards against limits that refuse what a server may well send.
    Given a server that answers with <what>, which is sound
    When its answer is read
    Then it is complete, with a body of <size> bytes

    Examples:
      | what                                | size    |
      | 4 MB to the close                   | 4194304 |
      | 4 MB of announced length            | 4194304 |
      | 4 MB in chunks of 256 bytes         | 4194304 |
      | 32 kB in chunks of 16 bytes         | 32768   |
      | 400 kB in chunks of 100 bytes       | 409600  |
      | 128 kB in chunks of 16 bytes        | 131072  |
      | 2 kB in chunks of 1 byte            | 2048    |
      | 60 1xx answers before 16 bytes      | 16      |
      | 16 bytes with long chunk extensions | 16      |
      | 4 MB announced to HEAD and none     | 0       |

  Scenario Outline: An answer of <what> exceeds a limit
    # Guards against limits that another one hides until it is changed.
    Given a server that answers with <what>, which is too much
    When it is tried to read its answer
    Then the answer is refused because it <why>

    Examples:
      | what                               | why                            |
      | 4 MB and a byte to the close       | is larger than 4194304 bytes   |
      | 4 MB and a byte of chunks          | is larger than 4194304 bytes   |
      | 4 MB and a byte of announced length | is larger than 4194304 bytes |
      | 8300 chunks of 1 byte              | most of them tiny              |
      | 257 1xx answers                    | too many 1xx                   |
      | 9 MB of chunk extensions           | is larger than 8454144 bytes   |
      | a head of 20 kB                    | Receive buffer too long        |
      | bytes of another protocol          | no HTTP response               |

  Scenario Outline: Bytes come before any request, <pace>
    # Guards against a pool that opens connections to such a server without a pause.
    Given a server that sends <kind> on each connection before any request, <pace>, and a sound one
    When 8 requests that may be sent twice are forwarded to their upstream
    Then the sound server has answered all of them
    And at most 12 connections were opened to the server that speaks first

    Examples:
      | kind                | pace           |
      | noise               | at full speed  |
      | noise               | piece by piece |
      | a body to the close | at full speed  |
