Feature: The ordered list of rules

  Scenario Outline: An error in the list is reported with its position and field
    # An operator mistypes a word in one of many rules. Without the position of the error, the whole
    # list would have to be checked by hand.
    When rules are read from the tables "<first>" and "<second>"
    Then rule <position> is rejected at field "<field>"

    Examples:
      | first                                         | second                                                          | position | field            |
      | name="a" then={}                              | name="b" then={coverage=1.5}                                    | 2        | then.coverage    |
      | name="a" then={}                              | name="b" then={coverage=0.5,min_coverage=0.6}                   | 2        | then.min_coverage |
      | name="a" then={}                              | name="b" then={coverage="0.9"}                                  | 2        | then.coverage    |
      | name="a" then={}                              | name="b" then={deadline_ms=true}                                | 2        | then.deadline_ms |
      | name="a" then={}                              | name="b" when={idempotent="no"} then={}                         | 2        | when.idempotent  |
      | name="a" then={hedges=1}                      | name="b" then={}                                                | 1        | then.hedges      |
      | name="a" then={}                              | name="a" then={}                                                | 2        | name             |
      | name="A B" then={}                            | name="b" then={}                                                | 1        | name             |
      | then={}                                       | name="b" then={}                                                | 1        | name             |
      | name="a" then={}                              | name="b"                                                        | 2        | then             |
      | name="a" then={refuse=""}                     | name="b" then={}                                                | 1        | then.refuse      |
      | name="a" then={refuse="no",retry_after_ms=-1} | name="b" then={}                                                | 1        | then.retry_after_ms |
      | name="a" when={kinds="x"} then={}             | name="b" then={}                                                | 1        | when.kinds       |
      | name="a" when={priority="high"} then={}       | name="b" then={}                                                | 1        | when.priority.0  |
      | name="a" then={}                              | name="b" when={headers=[{name="x",equals="1",prefix="2"}]} then={} | 2     | when.headers.0   |
      | name="a" then={}                              | name="b" when={headers=[{name="x"}]} then={}                    | 2        | when.headers.0   |
      | name="a" then={deadline_ms=0}                 | name="b" then={}                                                | 1        | then.deadline_ms |
      | name="a" then={deadline_ms=600001}            | name="b" then={}                                                | 1        | then.deadline_ms |
      | name="a" then={retries=11}                    | name="b" then={}                                                | 1        | then.retries     |
      | name="a" then={max_load_share=0}              | name="b" then={}                                                | 1        | then.max_load_share |
      | name="a" then={caller_rate=0}                 | name="b" then={}                                                | 1        | then.caller_rate |

  Scenario: All errors are reported at once
    When rules are read from the tables "name="a" then={coverage=2,retries=99}" and "name="b" then={hedge=-1}"
    Then 3 errors in the rules are reported

  Scenario: An explanation names the applied rule and why earlier rules did not match
    When rules are read from the tables "name="robots" when={caller="robot"} then={}" and "name="routes" when={kind="route"} then={}"
    Then the explanation for caller "desk" and kind "route" is rule 2 after "robots" failed on "caller"
    And the explanation for caller "desk" and kind "log" is rule 0 after "robots" failed on "caller"

  Scenario: The first match is that of a naive implementation
    Then rules match and explain as a naive implementation does, for any rules and requests

  Scenario: A list of rules is unchanged after a round trip through its plain form
    Then any list of rules reads back the same from its plain form
