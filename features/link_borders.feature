Feature: What another process sends over a link ends at most that link

  Scenario: Any bytes at the port for links
    # Guards against bytes of anyone who reaches the port that end the process.
    Then no bytes at the port keep an authenticated peer from its answer

  Scenario: Any message of an authenticated peer
    # Guards against a peer of another build, or one that has gone wrong, that ends the process.
    Then no message of a peer to a host has any effect but that its link is closed

  Scenario Outline: A message with <what> is refused, naming the field
    # Guards against a number that fails only where it is used.
    Then a message between hosts with <what> is refused

    Examples:
      | what                     |
      | NaN as a time            |
      | an integer of 400 digits |
      | a date beyond all dates  |
      | a fraction over 0        |

  Scenario: A configuration that holds no document
    # Guards against a damaged configuration that ends the process of each host that it reaches.
    Given a host that serves by a configuration
    When it receives a newer configuration whose bytes hold no document
    Then it goes on serving by the one that it has

  Scenario: A task for one peer fails
    # Guards against an error in one task that ends all others of its kind.
    Given tasks of which one raises an error
    When they run
    Then the others end as if nothing had happened, and the error is counted
