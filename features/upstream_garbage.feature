Feature: Upstreams that answer with something else than the answer

  Answers arrive late, crossed, of another version or as no answer at all. Whatever a server sends,
  a caller is shown rows of its own query at one snapshot, and a coverage that is true.

  Scenario Outline: The only server of a shard answers with <garbage>
    # One server of a shard has a fault, or something between it and the entry mixes up answers.
    # Taken as it came, the caller would be shown rows of another query or version, or would wait
    # for good; here the shard is named as missing and the coverage says so.
    Given an upstream for the entry of 4 shards with 1 server each
    And the entry's rule gives 800 ms to an answer
    And the entry runs
    And the upstream's server of shard "s02" answers with "<garbage>"
    When the entry is asked 2 times
    Then the entry's answers are right and lack only shard "s02"
    And an exchange with that server of the upstream has after 2 s come to "<fault>"

    Examples:
      | garbage             | fault        |
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
      | drip                | nothing yet  |
      | error_page          | garbage      |
      | crossed_refusal     | wrong_answer |
      | wrong_status        | garbage      |

  Scenario Outline: One of two servers of a shard answers with <garbage>
    # The other server holds the same shard, so nothing need be missing.
    Given an upstream for the entry of 3 shards with 2 servers each
    And the entry's rule gives 3000 ms to an answer
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

  Scenario: A server sends another answer behind the right one
    # The bytes of the second answer lie in the socket when the connection is used again. Read as
    # the answer to the next request, they would show its caller rows that nobody asked for.
    Given an upstream for the entry of 2 shards with 1 server each
    And the entry runs
    And the upstream's server of shard "s01" answers with "answer_twice"
    When the entry is asked 5 times
    Then the entry's answers are right and lack nothing

  Scenario Outline: An upstream's shard map is <mistake>
    # A deploy of the upstream publishes a map that can't be used. Taken over, it would send queries
    # to servers that do not exist, or coverage would be told by wrong weights.
    When the upstream's shard map is read with <mistake>
    Then the upstream's shard map is refused because of "<field>"

    Examples:
      | mistake                      | field          |
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
