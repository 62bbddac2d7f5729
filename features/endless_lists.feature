Feature: A server list without end is given up, and read again

  Scenario Outline: The server list is <kind> without end, <pace>
    # Guards against a read that never ends, after which no read begins: hosts would go on sending to
    # servers that have left.
    Given a server list that is <kind> without end, <pace>, at the first read
    When the list is read twice
    Then the first read reports it as unreadable, after at most <bytes> kB
    And the second read has its server

    Examples:
      | kind                | pace           | bytes |
      | a status line       | at full speed  | 8000  |
      | header lines        | at full speed  | 8000  |
      | 1xx answers         | at full speed  | 8000  |
      | a body of 1 TB      | at full speed  | 8000  |
      | a body to the close | at full speed  | 12000 |
      | tiny chunks         | at full speed  | 8000  |
      | chunk extensions    | at full speed  | 16000 |
      | trailers            | at full speed  | 8000  |
      | noise               | at full speed  | 8000  |
      | header lines        | piece by piece | 100   |
      | 1xx answers         | piece by piece | 100   |
      | a body to the close | piece by piece | 100   |
      | tiny chunks         | piece by piece | 100   |
      | noise               | piece by piece | 100   |

  Scenario: A page that comes slowly is given up before the list is
    # Guards against a limit that the one of all pages hides: it is twenty times as long.
    Given a server list that is a body to the close without end, piece by piece, at the first read
    When the list is read twice
    Then the first read is given up because of its page, as it has no complete response within 700 ms

  Scenario Outline: The pages of the server list have no end: <pages>
    # Guards against a read that asks for page after page: it spends the calls that all hosts share,
    # holds whatever the pages have, and no change of a server is seen meanwhile.
    Given a server list of <pages>
    When the list is read, with <time> ms for all pages
    Then it is reported as unreadable because it <why>, after <most> pages at most

    Examples:
      | pages                                    | time  | why                          | most |
      | a page that names itself as the next one | 15000 | comes twice                  | 2    |
      | two pages that name each other           | 15000 | comes twice                  | 3    |
      | pages with a new name each               | 15000 | has more than 200 pages      | 200  |
      | pages of 2 MB with a new name each       | 15000 | has more than 16777216 bytes | 9    |
      | pages with a new name each, every 100 ms | 500   | took more than 500           | 6    |
