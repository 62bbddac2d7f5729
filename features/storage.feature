Feature: The data folder of a control host

  Scenario: A host is killed at any write
    # A power failure or a kill can interrupt any file operation: a write is partial, a rename is
    # not synced, bytes after the last sync are lost or read as zeros. After a restart the host must
    # still have each change, term and vote that it acknowledged.
    When the storage is killed at each of its file operations, with 6 outcomes each
    Then after each restart the storage has all acknowledged data
    And the storage never has data that was not written

  Scenario: A host is killed again while it recovers
    # A second power failure interrupts the recovery of the files.
    When the storage is killed at each file operation and again at each of the recovery
    Then after each restart the storage has all acknowledged data

  Scenario Outline: A damaged data folder stops the host
    # A disk returns other bytes than were written, or an operator copies a folder from another host
    # or deletes a file. If the host continued with the readable data, it would serve old rules and
    # could vote twice in a term.
    Given a storage folder with 40 synced entries in several segments and a snapshot
    When <damage> in the storage folder
    Then the storage refuses to open, naming "<file>" and saying "<why>"

    Examples:
      | damage                                    | file      | why                               |
      | a byte of an early frame is flipped       | journal-  | followed by an intact frame       |
      | a byte of an older segment is flipped     | journal-  | in a segment that is not the last |
      | the header of the last segment is flipped | journal-  | the segment header is damaged     |
      | a frame is moved within the last segment  | journal-  | followed by an intact frame       |
      | a middle segment is deleted               | journal-  | the segment is missing            |
      | all segments are deleted                  | journal-  | the journal is missing            |
      | the snapshot is deleted                   | journal-  | are missing                       |
      | a byte of the snapshot is flipped         | snapshot- | does not match the header         |
      | the header of the snapshot is flipped     | snapshot- | the snapshot header is damaged    |
      | the snapshot comes from another cluster   | snapshot- | belongs to cluster                |
      | a segment comes from another folder       | journal-  | belongs to                        |
      | the identity is deleted                   | journal-  | no identity file                  |
      | the identity is flipped                   | identity  | damaged                           |
      | the identity is of a later format         | identity  | unsupported format                |
      | the folder is opened for another host     | identity  | belongs to host                   |
      | the folder is opened twice                | lock      | another process uses the folder   |

  Scenario Outline: A crash leaves an incomplete write
    # The process was killed during its last write, which was not acknowledged. The host must
    # recover without an operator and discard that write.
    Given a storage folder with 40 synced entries in several segments and a snapshot
    When <tail> at the end of the storage journal
    Then the storage opens with 40 entries and has truncated bytes

    Examples:
      | tail                  |
      | half a frame          |
      | a frame full of zeros |
      | an overlong frame     |
      | an empty new segment  |

  Scenario Outline: The disk fails or is full
    # After a failed write or sync it is unknown which bytes are on disk, and the next sync may
    # report success for bytes that the kernel has dropped.
    Given a storage folder with 40 synced entries in several segments and a snapshot
    When the storage gets "<error>" from each "<operation>" from now on
    Then the storage raises the error for <what>
    And the storage writes nothing more after the disk has recovered
    And the reopened storage has 40 entries

    Examples:
      | error  | operation | what             |
      | ENOSPC | write     | new entries      |
      | EIO    | sync      | new entries      |
      | ENOSPC | write     | a vote           |
      | ENOSPC | create    | a snapshot       |
      | EIO    | rename    | a snapshot       |
      | ENOSPC | write     | a received chunk |

  Scenario: A received snapshot is corrupted
    # A chunk of a snapshot is corrupted in the memory of a host on its way.
    Given a storage folder with 40 synced entries in several segments and a snapshot
    When the storage receives a snapshot with a wrong checksum
    Then the storage discards it and opens with 40 entries

  Scenario: Two processes are started on one folder
    # A supervisor starts the program again while the first process still runs. Both would append to
    # the same journal, which neither could read afterwards.
    When two storages open one folder on the real disk
    Then the second storage is refused until the first is closed

  Scenario: Several hundred changes and compactions on the real disk
    When a storage on the real disk takes 600 entries with a snapshot every 50
    Then the storage has the same entries, term, vote and snapshot
    And the storage folder holds 1 snapshot and at most 3 segments
