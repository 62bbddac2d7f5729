Feature: Copies of outside data harm no more than their own entry

  Scenario Outline: A leader of an earlier build sends <what>
    # Guards against one entry that ends, or leaves without servers, each host that the leader tells:
    # it read the platform's list with fewer checks.
    Given a leader whose messages contain <what>
    When a host follows it
    Then the host uses the sound servers and hosts of these messages, and no others

    Examples:
      | what                                 |
      | a server whose address is no address |
      | a server with a port of 70000        |
      | a server whose ID isn't ASCII        |
      | a server without a zone              |
      | a server in a zone of 300 letters    |
      | a server with no slots               |
      | a server that is cold for ever       |
      | a host whose address is no address   |
      | a host with a port of 70000          |
      | a host of endless processor time     |

  Scenario Outline: A host without a leader passes on <what>
    # Guards against the same after a restart of all hosts, when one of them tells the others what it
    # kept.
    Given a host without a leader, whose kept state contains <what>
    When a host that has just started asks it
    Then the host uses the sound servers and hosts of these messages, and no others

    Examples:
      | what                                 |
      | a server whose address is no address |
      | a host whose address is no address   |

  Scenario: A host that can't be connected to joins
    # Guards against a view that names it to all hosts, and that their probes and choices fail with.
    Given a leader and 3 hosts, one of which has text for an address
    When all of them join
    Then the views name the other 2

  Scenario Outline: A checkpoint that <what>
    # Guards against a host whose process ends at each start, because of what it kept.
    Given a host whose checkpoint <what>
    When the host starts
    Then it goes on, with <rest> of the checkpoint

    Examples:
      | what                                    | rest          |
      | has a host whose address is no address  | the rest      |
      | raises an error while it is applied     | what precedes |
      | raises an error while it is read        | nothing       |

  Scenario Outline: An entry of the list that uses the ID of a sound server at <where>
    # Guards against another writer's entry that takes a sound server's place, so that its requests
    # go to nobody.
    Given a sound server that is listed, and an entry with its ID at <where>
    When the list names the entry <order> the server, <before>
    Then the server is still used at its address

    Examples:
      | where            | order  | before                               |
      | another address  | after  | for the first time                   |
      | another address  | after  | after it was listed alone            |
      | another address  | before | after it was listed alone            |
      | another upstream | after  | after it was listed alone            |

  Scenario Outline: A server that is named twice, as the list changes between its pages
    # Guards against a server that goes on getting requests after the list has named it as draining.
    Given a sound server that is listed, and an entry with its ID as draining
    When the list names the entry after the server, <before>
    Then the server is draining

    Examples:
      | before                    |
      | for the first time        |
      | after it was listed alone |

  Scenario: An entry with the address at which one of our hosts accepts callers
    # Guards against requests that come back to the hosts that sent them, again and again.
    Given a sound server that is listed, and an entry of another ID at a host's address for callers
    When the list names the entry after the server, after it was listed alone
    Then the server is the only one

  Scenario Outline: A message of the replicated log with <what>
    # Guards against a member that fails halfway through a step of the log.
    Given a message of another member with <what>
    Then it is refused, and names <field>

    Examples:
      | what                           | field    |
      | a negative term                | term     |
      | an index above all sizes       | commit   |
      | an entry that leaves a gap     | entries  |
      | an entry of a later term       | entries  |
      | a chunk beyond its snapshot    | data     |
      | a snapshot before all entries  | snapshot |

  Scenario Outline: Another member sends such a message as a <kind>
    # Guards against a check that is there and not made.
    Given a member of the log that is linked to another one
    When the other one sends a <kind> with a negative term
    Then the member takes no step with it, and closes that link

    Examples:
      | kind    |
      | request |
      | reply   |

  Scenario: Members claim to have more entries than the leader
    # Guards against a leader that counts entries as stored before anybody has them: a change would
    # be acknowledged, and lost with the leader.
    Given a leader of three members
    When both others say that they have one entry more than the leader, and are cut off
    Then a change that is proposed then isn't committed
