Feature: Gathers that meet at a host are served in an order that suits their callers

  Scenario Outline: Light and heavy gathers at their usual rate, <name>
    # Guards against light gathers that are late because they wait for all the parts of heavy ones,
    # which have time to spare, at the same host.
    Given gathers over 90 shards whose heavy kind has rank <rank>, <work> ms of work and <target> ms
    And whose light kind has rank <light rank>, <light work> ms of work and <light target> ms
    When callers send <heavy> heavy and <light> light gathers a second to 6 hosts
    Then both kinds earn at least 0.85 of their credit
    And neither earns more than 0.05 less than the other

    Examples:
      | name                     | rank | work | target | heavy | light rank | light work | light target | light |
      | light ones most urgent   | 1    | 42   | 349    | 12.6  | 0          | 13.8       | 96.3         | 7.3   |
      | heavy ones more urgent   | 1    | 22.5 | 176    | 15.8  | 2          | 7.5        | 68.9         | 5.27  |

  Scenario Outline: Light and heavy gathers in a peak, <name>
    # Guards against light gathers that fall behind in a peak, when nearly each one meets another
    # gather at its host.
    Given gathers over 90 shards whose heavy kind has rank <rank>, <work> ms of work and <target> ms
    And whose light kind has rank <light rank>, <light work> ms of work and <light target> ms
    When callers send <heavy> heavy and <light> light gathers a second to 6 hosts
    Then both kinds earn at least 0.85 of their credit

    Examples:
      | name                     | rank | work | target | heavy | light rank | light work | light target | light |
      | light ones most urgent   | 1    | 42   | 349    | 22.7  | 0          | 13.8       | 96.3         | 13.1  |
      | heavy ones more urgent   | 1    | 22.5 | 176    | 28.4  | 2          | 7.5        | 68.9         | 9.5   |

  Scenario Outline: One of 20 organisations sends so much that all together send 1.85 times their usual, <name>
    # Guards against organisations whose gathers are late because another one has a peak.
    Given gathers over 90 shards whose heavy kind has rank <rank>, <work> ms of work and <target> ms
    And whose light kind has rank <light rank>, <light work> ms of work and <light target> ms
    When 20 organisations send <heavy> heavy and <light> light gathers a second and another one 0.85 of that
    Then both kinds earn at least 0.85 of their credit
    And the others earn at least as much as the one with the peak, or 0.05 less

    Examples:
      | name                     | rank | work | target | heavy | light rank | light work | light target | light |
      | light ones most urgent   | 1    | 42   | 349    | 12.6  | 0          | 13.8       | 96.3         | 7.3   |
      | heavy ones more urgent   | 1    | 22.5 | 176    | 15.8  | 2          | 7.5        | 68.9         | 5.27  |

  Scenario Outline: Which gather's parts go first
    # Guards against an order in which urgent work waits for less urgent work, and against late work
    # that makes other work late as well.
    Given a gather "a" due in <due a> ms that lacks <lacks a> parts, of rank <rank a> and <of a>
    And a gather "b" due in <due b> ms that lacks <lacks b> parts, of rank <rank b> and <of b>
    When parts of both wait at a host that takes 0.25 ms for each
    Then those of "<first>" go first

    Examples:
      | due a | lacks a | rank a | of a            | due b | lacks b | rank b | of b            | first |
      | 50    | 90      | 1      | no organisation | 40    | 90      | 1      | no organisation | b     |
      | 50    | 90      | 0      | no organisation | 40    | 90      | 2      | no organisation | b     |
      | 50    | 90      | 1      | no organisation | 20    | 90      | 1      | no organisation | a     |
      | 50    | 90      | 1      | no organisation | 20    | 40      | 1      | no organisation | b     |
      | 10    | 90      | 2      | no organisation | 20    | 90      | 1      | no organisation | b     |
      | -10   | 0       | 1      | no organisation | -20   | 0       | 1      | no organisation | b     |
      | 90    | 90      | 2      | no organisation | 20    | 90      | 0      | no organisation | a     |
      | 50    | 90      | 1      | organisation x  | 60    | 90      | 1      | organisation x  | a     |

  Scenario Outline: A gather over 90 shards that meets <count> others of rank <rank>
    # Guards against gathers that are held until their callers give up, and against callers that gain
    # by asking again at once or all return at the same time.
    Given <count> gathers of rank <rank> due in <due> ms that lack <lacks> parts each
    When one of rank <own rank> due in <own due> ms with a deadline of <deadline> ms arrives 3 times
    Then it is <outcome>

    Examples:
      | count | rank | due  | lacks | own rank | own due | deadline | outcome                                                   |
      | 0     | 1    | 300  | 90    | 1        | 100     | 600      | served each time                                          |
      | 10    | 1    | 300  | 90    | 1        | 100     | 600      | served each time                                          |
      | 40    | 1    | -100 | 90    | 1        | -90     | 600      | refused each time and told to return after 345 to 690 ms  |
      | 40    | 1    | -100 | 90    | 0        | -90     | 600      | served each time                                          |
      | 100   | 0    | 3000 | 90    | 2        | -90     | 600      | served each time                                          |
      | 40    | 1    | 9000 | 90    | 1        | 100     | 600      | served each time                                          |

  Scenario Outline: A host that was frozen <freezes> times for <freeze> ms under load serves gathers
    # Guards against a freeze that is taken for the time of a turn: all gathers would be refused
    # until the host is restarted.
    Given a host that hands out parts of 2 gathers at a time, for 0.25 ms each
    When it is frozen <freezes> times for <freeze> ms, each time while a batch is handled
    Then a gather over 20 shards with a deadline of 500 ms that meets another one is served

    Examples:
      | freezes | freeze |
      | 1       | 3500   |
      | 9       | 3500   |
      | 9       | 60000  |

  Scenario: A host that believes that it is slow finds out that it is not
    # Guards against a wrong belief that nothing can correct, as no gather runs any more.
    Given a host that takes a turn for 500 ms, although it takes 0.25 ms
    When gathers over 20 shards with a deadline of 500 ms arrive two at a time
    Then one of the first two is served, and both of the 40th two

  Scenario: A host that has become slow refuses gathers that it can't answer in time
    # Guards against a bound of the measured time that keeps a host from noticing that it is slow.
    Given a host that hands out parts of 2 gathers at a time, for 25 ms each
    When it has handed out 40 batches
    Then a gather over 20 shards with a deadline of 500 ms that meets another one is refused

  Scenario: A gather waits behind the earlier ones of its own organisation
    # Guards against an organisation with many gathers that displaces those of the others.
    Given a gather "own-1" due in 40 ms that lacks 10 parts, of rank 1 and organisation x
    And a gather "own-2" due in 41 ms that lacks 10 parts, of rank 1 and organisation x
    And a gather "other" due in 60 ms that lacks 10 parts, of rank 1 and organisation y
    When 20 parts of each wait at a host
    Then the batches go to own-1, own-1, own-1, own-1, own-1, other, other, other, other, other

  Scenario: Parts of a gather that is already answered go last
    # Guards against answers that nobody waits for and that delay those of other gathers.
    Given a gather "a" due in 40 ms that lacks 10 parts, of rank 0 and no organisation
    And a gather "b" due in 60 ms that lacks 10 parts, of rank 1 and no organisation
    And the gather "a" is answered
    When parts of both wait at a host that takes 0.25 ms for each
    Then those of "b" go first

  Scenario: Whatever gathers meet, their parts are all handled and none starves
    # Guards against a host that is idle while parts wait, and against late or less urgent gathers
    # that never get a turn while others keep coming.
    Then a queue with any gathers hands out a part whenever one waits
    And a group of gathers that waits gets at least a quarter of the batches of any other group
    And a part that was cancelled is never handed out

  Scenario Outline: How long parts wait at a host where <what>
    # Guards against an urgent gather that waits for all the parts of another one, and against parts
    # that stay in the queue. The loop runs three times before the light gather arrives, with a batch
    # of four parts each time.
    Given a host where <what>
    When its gathers send their requests or read their answers
    Then at most 12 of 40 parts of the heavy one go before the first of the light one
    And 0 parts are left in the queue

    Examples:
      | what                                                |
      | a light gather arrives while a heavy one sends      |
      | a light gather's answers arrive after a heavy one's |
      | a heavy one is cancelled while it waits             |

  Scenario Outline: Nothing waits at a host where <what>
    # Guards against a queue that costs time where no order is needed.
    Given a host where <what>
    Then its gathers <do> without waiting for a turn

    Examples:
      | what                          | do                               |
      | all routes are equally urgent | send requests and read answers   |
      | one gather is at work         | read answers                     |
