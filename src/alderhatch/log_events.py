"""The closed catalogue of numbered log events.

Numbers are never used again once they have been published. 1000s belong to the entry, 2000s to
the control process, 3000s to the replicated log and its files, 4000s to links between processes,
5000s to settings and programs. docs/EVENTS.md shows the same list and a test compares the two.
"""

from __future__ import annotations

import logging
from enum import Enum
from typing import NamedTuple


class EventRow(NamedTuple):
    """What the catalogue says about one event."""

    number: int
    level: int
    """A level of the standard ``logging`` module."""
    meaning: str
    """What happened and, for warnings and errors, what to look at."""


class LogEvent(Enum):
    """Every event that a process of alderhatch may log."""

    ENTRY_STARTED = EventRow(1000, logging.INFO, "The entry listens and takes requests.")
    ENTRY_STOPPING = EventRow(1001, logging.INFO, "The entry left the address answers and drains.")
    ENTRY_STOPPED = EventRow(1002, logging.INFO, "The last request of the entry is answered.")
    CALLER_INPUT_REFUSED = EventRow(1010, logging.WARNING, "A caller's bytes were no request.")
    SHARD_MAP_ADOPTED = EventRow(1020, logging.INFO, "A newer shard map is used for new queries.")
    SHARD_MAP_REFUSED = EventRow(1021, logging.WARNING, "An upstream's shard map was not usable.")
    UPSTREAM_ANSWER_REFUSED = EventRow(
        1030, logging.WARNING, "A server's answer was not that of the shard request; it is dropped."
    )
    ENTRY_FAULT = EventRow(1090, logging.ERROR, "A fault in the entry itself; see the traceback.")

    CONTROL_LINK_LOST = EventRow(
        1041, logging.WARNING, "The link to a control host is gone; the entry tries the next one."
    )
    LEASE_LOST = EventRow(
        1042, logging.ERROR, "The lease ran out: no control host with a leader was reached in time."
    )
    LEASE_TAKEN = EventRow(1043, logging.INFO, "The entry has a lease and may serve.")
    CONTROL_WENT_BACK = EventRow(
        1044, logging.ERROR, "Control is at an older version than the entry: it lost its data."
    )
    LEASE_DENIED = EventRow(1045, logging.ERROR, "Control gives this entry no lease; see why.")
    LEDGER_NOTE_DROPPED = EventRow(
        1046, logging.ERROR, "Too many outcomes wait for control; the oldest will stay unknown."
    )

    OWNER_LINK_LOST = EventRow(
        1050, logging.WARNING, "The link to another entry, which owns servers, is gone or refused."
    )

    CONTROL_STARTED = EventRow(2000, logging.INFO, "The control host listens.")
    CONTROL_LEADS = EventRow(2001, logging.INFO, "This control host grants leases from now on.")
    CONTROL_FOLLOWS = EventRow(2002, logging.INFO, "This control host leads no more.")
    CHANGE_ACCEPTED = EventRow(2010, logging.INFO, "An operator's change is accepted.")
    CHANGE_REFUSED = EventRow(2011, logging.INFO, "An operator's change is refused.")
    ENTRY_REGISTERED = EventRow(2020, logging.INFO, "An entry takes part.")
    ENTRY_LEASE_RUN_OUT = EventRow(
        2021, logging.WARNING, "An entry stopped renewing; what it ran is of unknown outcome."
    )
    MEMBER_CHANGED = EventRow(2030, logging.INFO, "A control host joined, was promoted or left.")
    MEMBER_CHANGE_FAILED = EventRow(
        2031, logging.WARNING, "A change of the control hosts is not done yet; it is tried again."
    )
    LEADERSHIP_HANDED_OVER = EventRow(2032, logging.INFO, "The leader is to stop and hands over.")
    OPERATOR_REFUSED = EventRow(2040, logging.WARNING, "A request without a known key or role.")
    LINK_ROLE_REFUSED = EventRow(2041, logging.WARNING, "A peer asked for what its role may not.")
    CLOCK_DISAGREES = EventRow(
        2060, logging.WARNING, "The host's clock is far from the time of the last command."
    )

    LOG_FOUNDED = EventRow(3000, logging.INFO, "This host founded a new cluster.")
    LOG_JOINED = EventRow(3001, logging.INFO, "This host's new data folder belongs to a cluster.")
    LOG_FOLDER_IS_NEW = EventRow(
        3002,
        logging.WARNING,
        "The data folder is empty, but other hosts remember a cluster; repair this host.",
    )
    LOG_ROLE_CHANGED = EventRow(3010, logging.INFO, "The role, the term or the leader changed.")
    LOG_STATE_RESTORED = EventRow(3011, logging.INFO, "The state was restored from a snapshot.")
    LOG_TAIL_CUT = EventRow(
        3020, logging.WARNING, "A write that a crash had interrupted was cut off the journal."
    )
    LOG_STORAGE_FAILED = EventRow(
        3021,
        logging.ERROR,
        "The disk is full or failed; this host takes no part until it is started anew.",
    )
    LOG_PEER_REFUSED = EventRow(
        3030, logging.WARNING, "A control host of another name or cluster was met."
    )
    LOG_LINK_SILENT = EventRow(
        3031, logging.WARNING, "A link to a control host gave no answer and is dialled anew."
    )

    CONFIGURATION_ACCEPTED = EventRow(
        2070, logging.INFO, "An operator's numbered configuration is on enough disks."
    )
    CONFIGURATION_ADOPTED = EventRow(
        1060, logging.INFO, "The node serves by a newer numbered configuration."
    )
    EVACUATION_ACCEPTED = EventRow(
        2074, logging.INFO, "An operator's order about an availability zone is on enough disks."
    )
    EVACUATIONS_ADOPTED = EventRow(
        1079, logging.INFO, "The node sends nothing to servers of these availability zones."
    )
    REQUEST_QUARANTINED = EventRow(
        2073, logging.WARNING, "A request crashed two servers; no host sends it to any for a time."
    )
    HOST_JOINED = EventRow(2071, logging.INFO, "A host follows this leader.")
    HOST_LOST = EventRow(2072, logging.WARNING, "A host that followed this leader is gone.")
    REQUEST_ENDED = EventRow(
        1070,
        logging.INFO,
        "A request was answered or refused; with every decision if it was not answered in full.",
    )
    REQUEST_LINES_FOLDED = EventRow(
        1071, logging.INFO, "Requests whose own lines were left out since the last such line."
    )
    LOG_LINES_DROPPED = EventRow(
        1072, logging.WARNING, "Log lines were lost because nobody read them in time."
    )
    SERVER_BELIEF = EventRow(
        1073,
        logging.INFO,
        "What the node believes of a server changed: listed, leaving or ejected.",
    )
    BELIEFS_NOT_KEPT = EventRow(
        1074,
        logging.WARNING,
        "What the node serves by after a restart could not be written or read.",
    )
    HOSTS_OUT_OF_REACH = EventRow(
        1075, logging.WARNING, "Without a leader, the hosts out of reach changed; see hosts."
    )
    REQUEST_HANDED_OVER = EventRow(
        1076,
        logging.INFO,
        "A node that stands by had another one answer a request, or could not; see host.",
    )
    HAND_OVER_LINK_LOST = EventRow(
        1077, logging.WARNING, "The link to a node that serves callers is gone; see why."
    )
    SHARE_ENDED = EventRow(
        1081,
        logging.INFO,
        "A share of another node's gather ended without all of its parts; coverage is its own.",
    )
    SHARE_LOST = EventRow(
        1080,
        logging.WARNING,
        "Another node did not bring its share of a gather; this one asks for it; see why.",
    )
    STANDING_CHANGED = EventRow(
        1078, logging.INFO, "The leader told the node whether it stands by or asks servers itself."
    )
    LEADER_FOUND = EventRow(1061, logging.INFO, "The node follows a leader.")
    LEADER_LOST = EventRow(
        1062, logging.WARNING, "The node has no leader; it serves on by what it last knew."
    )
    SERVER_LIST_LOST = EventRow(
        1063, logging.WARNING, "The list of servers could not be read; the last one stays in use."
    )
    SERVER_LIST_BACK = EventRow(1064, logging.INFO, "The list of servers can be read again.")
    NODE_STARTED = EventRow(1065, logging.INFO, "The node listens.")
    NODE_STOPPED = EventRow(1066, logging.INFO, "The node has ended what it ran.")

    LINK_REFUSED = EventRow(4000, logging.WARNING, "A peer failed the authentication of a link.")
    LINK_MESSAGE_REFUSED = EventRow(4001, logging.WARNING, "A peer sent no valid message.")

    PROGRAM_STOPPED_BY_SIGNAL = EventRow(5000, logging.INFO, "A signal told the program to stop.")
    PROGRAM_CANNOT_START = EventRow(
        5001, logging.ERROR, "An address could not be opened or the data folder not used."
    )
    SETTINGS_ADOPTED = EventRow(5010, logging.INFO, "Changed settings are in use.")
    SETTINGS_REFUSED = EventRow(
        5011, logging.WARNING, "Changed settings can't be read; those in use stay."
    )
    PROGRAM_FAULT = EventRow(5090, logging.ERROR, "A fault of alderhatch; see the traceback.")

    @property
    def number(self) -> int:
        """The event's number, which stays the same for good."""
        return self.value.number
