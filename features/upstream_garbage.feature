Feature: Upstreams that send invalid or wrong answers

  Answers may be late, for another request, of another version or malformed. Whatever a server
  sends, callers get only rows of their own query at one snapshot, with correct coverage.

  Scenario Outline: The only server of a shard answers with <garbage>
    # A server has a fault, or an intermediary mixes up answers. If the answer were accepted, the
    # caller would get rows of another query or version, or would wait forever. Instead the shard
    # is listed as missing and the coverage is lower.
    Given an upstream for the entry of 4 shards with 1 server each
    And the entry's rule has a deadline of 800 ms
    And the entry runs
    And the upstream's server of shard "s02" answers with "<garbage>"
    When the entry is asked 2 times
    Then the entry's answers are right and lack only shard "s02"
    And after 2 s an exchange with that server of the upstream has the outcome "<outcome>"

    Examples:
      | garbage             | outcome      |
      | bad_json            | garbage      |
      | not_an_object       | garbage      |
      | wrong_id            | wrong_answer |
      | crossed             | wrong_answer |
      | wrong_shard         | wrong_answer |
      | wrong_version       | wrong_answer |
      | missing_rows        | garbage      |
      | rows_no_list        | garbage      |
      | short_length        | garbage      |
      | long_length         | lost         |
      | long_length_open    | silent       |
      | endless_body        | garbage      |
      | endless_head        | garbage      |
      | informational_flood | garbage      |
      | not_http            | garbage      |
      | drip                | none yet     |
      | error_page          | garbage      |
      | crossed_refusal     | wrong_answer |
      | wrong_status        | garbage      |

  Scenario Outline: One of two servers of a shard answers with <garbage>
    # The other server holds the same shard, so no shard is missing.
    Given an upstream for the entry of 3 shards with 2 servers each
    And the entry's rule has a deadline of 3000 ms
    And the entry runs
    And the upstream's server "navigator-01-0" answers with "<garbage>"
    When the entry is asked 6 times
    Then the entry's answers are right and lack nothing

    Examples:
      | garbage             |
      | bad_json            |
      | crossed             |
      | wrong_version       |
      | long_length         |
      | long_length_open    |
      | endless_body        |
      | informational_flood |
      | not_http            |
      | error_page          |

  Scenario: A server sends a second answer after the right one
    # The second answer is still in the socket buffer when the connection is used again. Read as the
    # answer to the next request, it would give the caller rows of another query.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs
    And the upstream's server of shard "s01" answers with "answer_twice"
    When the entry is asked 5 times
    Then the entry's answers are right and lack nothing

  Scenario Outline: An upstream's shard map has <error>
    # A deployment of the upstream publishes an invalid map. If it were adopted, queries would go to
    # servers that do not exist, or coverage would be computed from wrong weights.
    When the upstream's shard map is read with <error>
    Then the upstream's shard map is refused because of "<field>"

    Examples:
      | error                        | field          |
      | no version                   | version        |
      | a negative epoch             | epoch          |
      | a version as text            | version        |
      | the name of another upstream | upstream       |
      | a host name as address       | servers.0.addr |
      | a port of 0                  | servers.0.port |
      | an unknown server            | shards.s00     |
      | two shards of one name       | shards         |
      | two servers of one id        | servers        |
      | no shard                     | shards         |
      | broken JSON                  | not JSON       |
