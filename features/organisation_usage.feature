Feature: An operator sees the requests of organisations

  Scenario: The largest organisations are counted by name, in any order of requests
    # Guards against a metrics page that grows with the number of organisations, and against
    # requests that vanish from the counts when an organisation becomes large or small.
    Then for any requests of 60 organisations at most 20 are counted by name, and none is lost

  Scenario: An organisation that sends more than usual is counted by name
    Given 40 organisations that send 100 requests each
    When another one sends 150 requests
    Then it is counted by name after the next choice, with 30 requests at the least

  Scenario: An organisation that stopped sending makes room
    Given 40 organisations that send 100 requests each
    When 2 hours pass and another one sends 5 requests
    Then it is counted by name after the next choice, with 0 requests at the least

  Scenario: Names with special characters don't spoil the metrics page
    Then the metrics page shows an organisation named 'we"ird\one' with its escapes

  Scenario Outline: Outcomes of an organisation's requests are counted
    Given a host with organisations in configuration 5
    When a request of north <what>
    Then it counts as "<outcome>" for north

    Examples:
      | what                     | outcome       |
      | finds no server          | no_server     |
      | is over the quota        | caller_limit  |
      | is refused a turn        | overloaded    |
      | loses its key in a queue | unauthorized  |
      | is left by its caller    | caller_gone   |

  Scenario: A caller that repeats a refused request does not flood the log
    # Guards against a log in which the lines of other requests are lost.
    Given a request log, and a caller with an unknown key
    When its request is refused 1000 times within 1 second
    Then at most 12 lines tell so, without the key and with the digest "6f3eaa5f"
    And the other refusals are counted in one line
    And another refused request still gets its line
