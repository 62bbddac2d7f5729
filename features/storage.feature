Feature: The data folder of a control host

  Scenario: A host is killed at any write
    # The power goes, or the kernel kills the process, in the middle of any file operation: a write
    # is half done, a rename is not synced, bytes behind the last sync are lost or read as zeros.
    # On its next start the host must still have each change, term and vote that it acknowledged.
    When the storage is killed at each of its file operations, with 6 outcomes each
    Then every time the storage comes back with all that it had acknowledged
    And the storage never comes back with what was not written

  Scenario: A host is killed again while it recovers
    # The machine loses its power a second time just when the process has begun to mend its files.
    When the storage is killed at each file operation and again at each of the recovery
    Then every time the storage comes back with all that it had acknowledged

  Scenario Outline: A damaged data folder stops the host
    # A disk returns other bytes than were written, somebody copied a folder from another host, or
    # deleted a file. If the host went on with what it can read, it would serve old rules and vote
    # again in terms in which it has voted.
    Given a storage folder with 40 synced entries in several segments and a snapshot
    When <damage> in the storage folder
    Then the storage refuses to open, naming "<file>" and saying "<why>"

    Examples:
      | damage                                       | file       | why                             |
      | a byte of an early frame is flipped          | journal-   | with a whole one behind it      |
      | a byte of an older segment is flipped        | journal-   | damaged in an older segment     |
      | the head of the last segment is flipped      | journal-   | the head of the segment         |
      | a frame is moved within the last segment     | journal-   | with a whole one behind it      |
      | a middle segment is deleted                  | journal-   | the segment is missing          |
      | all segments are deleted                     | journal-   | the journal is missing          |
      | the snapshot is deleted                      | journal-   | are missing                     |
      | a byte of the snapshot is flipped            | snapshot-  | does not have its checksum      |
      | the head of the snapshot is flipped          | snapshot-  | the head of the snapshot        |
      | the snapshot comes from another cluster      | snapshot-  | belongs to cluster              |
      | a segment comes from another folder          | journal-   | belongs to                      |
      | the identity is deleted                      | journal-   | no identity file                |
      | the identity is flipped                      | identity   | damaged                         |
      | the identity is of a later format            | identity   | format                          |
      | the folder is opened for another host        | identity   | belongs to host                 |
      | the folder is opened twice                   | lock       | another process uses the folder |

  Scenario Outline: A crash leaves an unfinished write
    # The process was killed in the middle of its last write, which nobody was told about. The host
    # must come back on its own, at three in the morning, without the rest.
    Given a storage folder with 40 synced entries in several segments and a snapshot
    When <tail> at the end of the storage journal
    Then the storage opens with 40 entries, and cut something off

    Examples:
      | tail                  |
      | half a frame          |
      | a frame full of zeros |
      | a frame without end   |
      | an empty new segment  |

  Scenario Outline: The disk fails or is full
    # A write or sync gives an error. What reached the disk is unknown, and the next sync may
    # report success for bytes that the kernel has dropped.
    Given a storage folder with 40 synced entries in several segments and a snapshot
    When the storage gets "<error>" from each "<operation>" from now on
    Then the storage raises the error for <what>
    And the storage writes nothing more, though the disk is well again
    And the storage opens anew with 40 entries

    Examples:
      | error  | operation | what            |
      | ENOSPC | write     | new entries     |
      | EIO    | sync      | new entries     |
      | ENOSPC | write     | a vote          |
      | ENOSPC | create    | a snapshot      |
      | EIO    | rename    | a snapshot      |
      | ENOSPC | write     | a received part |

  Scenario: A snapshot arrives with other bytes than were sent
    # A piece of a snapshot is damaged on its way through a host's memory.
    Given a storage folder with 40 synced entries in several segments and a snapshot
    When the storage receives a snapshot whose bytes lack their checksum
    Then the storage throws it away and opens with 40 entries

  Scenario: Two processes are started on one folder
    # A supervisor starts the program a second time while the first still runs. Both would append
    # to the same journal and neither could read it afterwards.
    When two storages open one folder on the real disk
    Then the second storage is refused until the first is closed

  Scenario: Several hundred changes and compactions on the real disk
    When a storage on the real disk takes 600 entries with a snapshot each 50
    Then the storage has the same entries, term, vote and snapshot
    And the storage folder holds 1 snapshot and at most 3 segments
