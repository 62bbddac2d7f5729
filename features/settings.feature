Feature: Settings files are validated before a program starts

  Scenario Outline: An error in an entry's settings is reported with its line and the allowed values
    Given settings of an entry in which "<text>" reads "<instead>"
    When the settings are loaded
    Then the settings have one fault, at line <line>, key "<key>", that says "<message>" and allows "<allowed>"

    Examples: a single key
      | text                  | instead                  | line | key                        | message                       | allowed                 |
      | name = "entry-1"      | name = "Entry 1"         | 1    | name                       | 'Entry 1' is not a valid name | starting with a letter  |
      | name = "entry-1"      |                          | 0    | name                       | is missing                    | a-z, 0-9                |
      | zone = "waco-hall"    | zone = 7                 | 2    | zone                       | 7 is of the wrong type        | a-z, 0-9                |
      | address_ttl_ms = 3000 | adress_ttl_ms = 3000     | 5    | adress_ttl_ms              | did you mean address_ttl_ms?  | address_ttl_ms          |
      | address_ttl_ms = 3000 | address_ttl_ms = 0       | 5    | address_ttl_ms             | 0 is out of range             | over 0 to 86400000      |
      | address_ttl_ms = 3000 | address_ttl_ms = "3 s"   | 5    | address_ttl_ms             | wrong type                    | a number                |
      | port = 7400           | port = 65536             | 11   | callers.port               | out of range                  | from 0 to 65535         |
      | port = 7400           | port = 7400.5            | 11   | callers.port               | wrong type                    | a whole number          |
      | address = "10.0.0.1"  | address = "waco-1.local" | 10   | callers.address            | does not appear to be an IPv4 | an IPv4 or IPv6 address |
      | port = 9101           | port = -1                | 33   | upstreams[1].seeds[2].port | out of range                  | from 0 to 65535         |
      | queue = 16            | queue = 100001           | 37   | limits.queue               | out of range                  | from 0 to 100000        |
      | address_ttl_ms = 3000 | address_ttl_ms = nan     | 5    | address_ttl_ms             | wrong type                    | a number                |
      | queue = 16            | queues = 16              | 37   | limits.queues              | did you mean queue?           | body_bytes              |
      | map_poll_ms = 500     | map_poll_ms = false      | 30   | upstreams[1].map_poll_ms   | wrong type                    | a number                |

    Examples: conflicts between keys
      | text                 | instead                             | line | key                        | message                               | allowed                    |
      | drain_ms = 20000     | drain_ms = 3000                     | 6    | drain_ms                   | not more than address_ttl_ms          | longer than address_ttl_ms |
      | port = 7401          | port = 7400                         | 15   | operators.port             | also used by callers                  | a separate port            |
      | name = "control-3"   | name = "control-1"                  | 24   | controls[2].name           | 'control-1' occurs more than once     | unique values              |
      | port = 7502          | port = 7500                         | 26   | controls[2].port           | '10.0.0.9:7500' occurs more than once | unique values              |
      | secret_file = "s"    | secret_file = "s"\nrules_file = "r" | 4    | rules_file                 | conflicts with controls               | either                     |
      | port = 9101          | port = 9100                         | 33   | upstreams[1].seeds[2].port | occurs more than once                 | unique values              |
      | address = "10.0.0.1" | address = "0.0.0.0"                 | 10   | callers.address            | can't be advertised to callers        | callers reach this host    |

  Scenario Outline: An error in a control host's settings is reported with its line and the allowed values
    Given settings of a control host in which "<text>" reads "<instead>"
    When the settings are loaded
    Then the settings have one fault, at line <line>, key "<key>", that says "<message>" and allows "<allowed>"

    Examples:
      | text                      | instead                   | line | key                 | message                        | allowed                       |
      | name = "control-1"        | name = "control-9"        | 1    | name                | is not among the peers         | control-1, control-2          |
      | lease_ms = 3000           | lease_ms = 499            | 6    | lease_ms            | 499 is out of range            | from 500 to 60000             |
      | lease_ms = 3000           | lease_ms = 1400           | 6    | lease_ms            | longer than a change of leader | 2 times election_timeout      |
      | election_timeout_ms = 700 | election_timeout_ms = 290 | 8    | election_timeout_ms | less than three heartbeats     | at least 3 times heartbeat_ms |
      | keys_file = "keys"        | keys_file = "secret"      | 5    | keys_file           | same file as secret_file       | a separate file               |
      | port = 7501               | port = 7500               | 16   | operators.port      | also used by links             | a separate port               |
      | port = 7510               | port = 7520               | 31   | peers[3].port       | occurs more than once          | unique values                 |
      | data_folder = "data"      |                           | 0    | data_folder         | is missing                     | a path                        |

  Scenario: An even number of control hosts is rejected
    Given settings of a control host in which the last peer is missing
    When the settings are loaded
    Then the settings have one fault, at line 18, key "peers", that says "tolerate no more losses" and allows "1, 3, 5 or 7"

  Scenario: All errors in a file are reported in one run
    # If only the first error were reported, an operator would need one run for each error while
    # the entry is down.
    Given settings of an entry with an invalid port, an unknown key and a drain time that is too short
    When the settings are loaded
    Then the settings have faults at the keys "drain_ms, adress_ttl_ms, callers.port"

  Scenario Outline: A file that is not valid TOML is reported with the line of the error
    Given a settings file with the text "<text>"
    When the settings are loaded
    Then the settings have one fault, at line <line>, key "", that says "<message>" and allows ""

    Examples:
      | text                            | line | message           |
      | name = "a"\nzone =              | 2    | is not TOML       |
      | name = "a"\nname = "b"          | 2    | is not TOML       |
      | name = "\xff"                   | 1    | is not UTF-8      |
      | drain_ms = 99999999999999999999 | 0    | more than 64 bits |

  Scenario Outline: Files that settings refer to must exist and secrets must be private
    # Other users of the host who can read a secret could join the tier or change its rules
    # unnoticed, so the program does not start.
    Given settings of a control host whose <key> is <state>
    When the settings are loaded on their host
    Then the settings have one fault, at line <line>, key "<key>", that says "<message>" and allows "<allowed>"
    And the settings faults contain nothing of the secret

    Examples:
      | key         | state             | line | message                   | allowed      |
      | secret_file | missing           | 4    | No such file              | can read     |
      | secret_file | open to the group | 4    | open to others (mode 640) | mode 600     |
      | secret_file | a folder          | 4    | is not a regular file     | regular file |
      | secret_file | too short         | 4    | contains 5 bytes          | 16 bytes     |
      | keys_file   | missing           | 5    | No such file              | can read     |
      | keys_file   | open to the group | 5    | open to others (mode 640) | mode 600     |
      | data_folder | a file            | 3    | is not a folder           | a folder     |

  Scenario: Paths are relative to the folder of the settings file
    Given settings of a control host in which "lease_ms = 3000" reads "lease_ms = 3000"
    When the settings are loaded
    Then the path of the secret file is relative to the folder of the settings file

  Scenario: The example settings of both deployments are valid and consistent
    Then the settings examples of "brazos" have 12 entry hosts in 3 zones and 5 control hosts
    And the settings examples of "trafikkforbund" have 12 entry hosts in 4 zones and 5 control hosts
