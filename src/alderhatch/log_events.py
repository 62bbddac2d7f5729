"""The catalogue of log events.

A published number is never reused. Numbers from 1000 belong to entries and nodes, from 2000 to
control, from 3000 to the replicated log and its files, from 4000 to links between processes, and
from 5000 to settings and programs. A test compares docs/EVENTS.md with this list.
"""

from __future__ import annotations

import logging
from enum import Enum
from typing import NamedTuple


class EventRow(NamedTuple):
    """Catalogue row of an event."""

    number: int
    level: int
    """Level as defined by the ``logging`` module."""
    meaning: str
    """What happened and, for warnings and errors, what to check."""


class LogEvent(Enum):
    """All events that alderhatch processes log."""

    ENTRY_STARTED = EventRow(1000, logging.INFO, "The entry is listening and accepts requests.")
    ENTRY_STOPPING = EventRow(
        1001, logging.INFO, "The entry is no longer advertised and drains its requests."
    )
    ENTRY_STOPPED = EventRow(1002, logging.INFO, "The entry has answered its last request.")
    CALLER_INPUT_REFUSED = EventRow(1010, logging.WARNING, "A caller sent an invalid request.")
    ANSWER_CUT = EventRow(
        1011, logging.WARNING, "A client was given up before it had read its whole answer."
    )
    SHARD_MAP_ADOPTED = EventRow(1020, logging.INFO, "New queries use a newer shard map.")
    SHARD_MAP_REFUSED = EventRow(1021, logging.WARNING, "An upstream's shard map is invalid.")
    UPSTREAM_ANSWER_REFUSED = EventRow(
        1030,
        logging.WARNING,
        "A server's answer does not match the shard request; it is discarded.",
    )
    ENTRY_FAULT = EventRow(1090, logging.ERROR, "Internal error in the entry; see the traceback.")
    COPY_REFUSED = EventRow(
        1094,
        logging.WARNING,
        "Another host, or this host's disk, holds entries that can't be used; they are left out.",
    )
    TASK_FAULT = EventRow(
        1093,
        logging.ERROR,
        "One connection, attempt or entry ended by an internal error; see the traceback.",
    )

    CONTROL_LINK_LOST = EventRow(
        1041, logging.WARNING, "The link to a control host is lost; the entry tries the next host."
    )
    LEASE_LOST = EventRow(
        1042,
        logging.ERROR,
        "The lease has expired: no control host with a leader was reached in time.",
    )
    LEASE_TAKEN = EventRow(1043, logging.INFO, "The entry has a lease and may serve requests.")
    CONTROL_WENT_BACK = EventRow(
        1044, logging.ERROR, "Control has an older version than the entry: it has lost data."
    )
    LEASE_DENIED = EventRow(1045, logging.ERROR, "Control denies this entry a lease; see why.")
    LEDGER_NOTE_DROPPED = EventRow(
        1046, logging.ERROR, "Too many outcomes are queued for control; the oldest stays unknown."
    )

    OWNER_LINK_LOST = EventRow(
        1050, logging.WARNING, "The link to another entry that owns servers is lost or was refused."
    )

    CONTROL_STARTED = EventRow(2000, logging.INFO, "The control host is listening.")
    CONTROL_LEADS = EventRow(
        2001, logging.INFO, "This control host became the leader and grants leases."
    )
    CONTROL_FOLLOWS = EventRow(2002, logging.INFO, "This control host is no longer the leader.")
    CHANGE_ACCEPTED = EventRow(2010, logging.INFO, "An operator's change was accepted.")
    CHANGE_REFUSED = EventRow(2011, logging.INFO, "An operator's change was refused.")
    ENTRY_REGISTERED = EventRow(2020, logging.INFO, "An entry has registered.")
    ENTRY_LEASE_RUN_OUT = EventRow(
        2021, logging.WARNING, "An entry's lease expired; the outcomes of its requests are unknown."
    )
    MEMBER_CHANGED = EventRow(2030, logging.INFO, "A control host joined, was promoted or left.")
    MEMBER_CHANGE_FAILED = EventRow(
        2031, logging.WARNING, "A change of the control hosts is incomplete; it is retried."
    )
    LEADERSHIP_HANDED_OVER = EventRow(
        2032, logging.INFO, "The leader stops and transfers leadership."
    )
    OPERATOR_REFUSED = EventRow(
        2040, logging.WARNING, "A request lacked a known key or the required role."
    )
    LINK_ROLE_REFUSED = EventRow(
        2041, logging.WARNING, "A peer sent a request that its role does not permit."
    )
    CLOCK_DISAGREES = EventRow(
        2060, logging.WARNING, "The host's clock differs much from the time of the last command."
    )

    LOG_FOUNDED = EventRow(3000, logging.INFO, "This host bootstrapped a new cluster.")
    LOG_JOINED = EventRow(3001, logging.INFO, "This host joined a cluster with a new data folder.")
    LOG_FOLDER_IS_NEW = EventRow(
        3002,
        logging.WARNING,
        "The data folder is empty, but other hosts belong to a cluster; repair this host.",
    )
    LOG_ROLE_CHANGED = EventRow(3010, logging.INFO, "The role, the term or the leader changed.")
    LOG_STATE_RESTORED = EventRow(3011, logging.INFO, "The state was restored from a snapshot.")
    LOG_TAIL_CUT = EventRow(
        3020, logging.WARNING, "An incomplete write was truncated from the journal after a crash."
    )
    LOG_STORAGE_FAILED = EventRow(
        3021,
        logging.ERROR,
        "The disk failed or is full; this host does not participate until it is restarted.",
    )
    LOG_PEER_REFUSED = EventRow(
        3030, logging.WARNING, "A control host has an unexpected name or cluster."
    )
    LOG_LINK_SILENT = EventRow(
        3031, logging.WARNING, "A link to a control host does not respond; it is reopened."
    )

    CONFIGURATION_ACCEPTED = EventRow(
        2070, logging.INFO, "An operator's configuration is stored on enough disks."
    )
    CONFIGURATION_ADOPTED = EventRow(1060, logging.INFO, "The node uses a newer configuration.")
    CONFIGURATION_REFUSED = EventRow(
        1100,
        logging.ERROR,
        "A stored configuration is invalid for this build; the node keeps the one that it has.",
    )
    IDENTITY_REFUSED = EventRow(
        1101,
        logging.WARNING,
        "A request was refused as its key is missing, unknown or no longer valid; see why.",
    )
    EVACUATION_ACCEPTED = EventRow(
        2074, logging.INFO, "An operator's evacuation directive is stored on enough disks."
    )
    EVACUATIONS_ADOPTED = EventRow(
        1079, logging.INFO, "The node sends no requests to servers in these availability zones."
    )
    REQUEST_QUARANTINED = EventRow(
        2073,
        logging.WARNING,
        "A request crashes the servers that run it; all hosts refuse it for a while.",
    )
    HOST_JOINED = EventRow(2071, logging.INFO, "A host connected to this leader.")
    REQUEST_SUSPECTED = EventRow(
        1102,
        logging.WARNING,
        "A request lost several servers that ran it and got no answer; it may have crashed them."
        " It runs on one server at a time until one answers it.",
    )
    SUSPECT_CLEARED = EventRow(
        1103, logging.INFO, "A server answered a request that the leader had listed as a suspect."
    )
    TRIAL_LOST = EventRow(
        1104,
        logging.WARNING,
        "A suspect ran on one server alone, which ended; the leader decides on its quarantine.",
    )
    HOST_LOST = EventRow(2072, logging.WARNING, "This leader lost a connected host.")
    REQUEST_ENDED = EventRow(
        1070,
        logging.INFO,
        "A request was answered or refused; lists all decisions unless the answer is complete.",
    )
    REQUEST_LINES_FOLDED = EventRow(
        1071, logging.INFO, "Number of requests whose lines were omitted since the last such line."
    )
    LOG_LINES_DROPPED = EventRow(
        1072, logging.WARNING, "Log lines were dropped because they were not read in time."
    )
    SERVER_BELIEF = EventRow(
        1073,
        logging.INFO,
        "The node's state of a server changed: listed, leaving or ejected.",
    )
    CONFIGURATION_LEASE_GAINED = EventRow(
        1091,
        logging.INFO,
        "The leader confirmed the configuration in use; the node serves callers' keys.",
    )
    CONFIGURATION_LEASE_LOST = EventRow(
        1092,
        logging.WARNING,
        "The leader has not confirmed the configuration recently; requests with keys are refused.",
    )
    QUOTA_REFUSED = EventRow(
        1110,
        logging.INFO,
        "Requests of an organisation got no token of its quota; reason is exhausted, or no_owner if"
        " the owner could not be reached. One line for each organisation and second.",
    )
    QUOTA_OWNERS_CHANGED = EventRow(
        1111,
        logging.INFO,
        "The hosts that own quotas changed; the balances of those that moved were handed over.",
    )
    QUOTA_LINK_LOST = EventRow(
        1112, logging.WARNING, "The link to an owner of quotas is lost; it is opened again."
    )
    BELIEFS_NOT_KEPT = EventRow(
        1074,
        logging.WARNING,
        "The state checkpoint for restarts could not be written or read.",
    )
    HOSTS_OUT_OF_REACH = EventRow(
        1075, logging.WARNING, "Without a leader, the set of unreachable hosts changed; see hosts."
    )
    REQUEST_HANDED_OVER = EventRow(
        1076,
        logging.INFO,
        "A standby node handed a request over to another node, or failed to; see host.",
    )
    HAND_OVER_LINK_LOST = EventRow(
        1077, logging.WARNING, "The link to an active node is lost; see why."
    )
    SHARE_ENDED = EventRow(
        1081,
        logging.INFO,
        "A share of another node's gather ended with parts missing; coverage is that of the share.",
    )
    SHARE_LOST = EventRow(
        1080,
        logging.WARNING,
        "Another node did not return its share of a gather; this node queries it; see why.",
    )
    ACTIVE_HOSTS_CHANGED = EventRow(
        1082,
        logging.INFO,
        "The hosts that callers are sent to changed, as this node knows them; see why.",
    )
    STANDING_CHANGED = EventRow(
        1078, logging.INFO, "The leader made the node active or standby; see stands_by."
    )
    LEADER_FOUND = EventRow(1061, logging.INFO, "The node follows a leader.")
    LEADER_LOST = EventRow(
        1062, logging.WARNING, "The node has no leader; it continues with its last known state."
    )
    SERVER_LIST_LOST = EventRow(
        1063, logging.WARNING, "The server list could not be read; the last one stays in use."
    )
    SERVER_LIST_BACK = EventRow(1064, logging.INFO, "The server list can be read again.")
    NODE_STARTED = EventRow(1065, logging.INFO, "The node is listening.")
    START_STEP = EventRow(
        1083,
        logging.INFO,
        "A step of the node's start was taken, after_ms milliseconds after its process began.",
    )
    STOP_STEP = EventRow(
        1084,
        logging.INFO,
        "A step of the node's stop was taken, after_ms milliseconds after the signal; see the"
        " requests in progress and the answers being written.",
    )
    REQUESTS_CUT = EventRow(
        1085, logging.WARNING, "The node ended before it had written the answers to all requests."
    )
    STOP_FORCED = EventRow(
        1086,
        logging.WARNING,
        "The end of the process took too long, so it did not wait for its tasks and threads.",
    )
    NODE_STOPPED = EventRow(
        1066,
        logging.INFO,
        "The node has stopped; see the requests that it answered early, and those cut.",
    )

    LINK_REFUSED = EventRow(4000, logging.WARNING, "A peer failed the authentication of a link.")
    LINK_MESSAGE_REFUSED = EventRow(4001, logging.WARNING, "A peer sent an invalid message.")

    PROGRAM_STOPPED_BY_SIGNAL = EventRow(5000, logging.INFO, "The program stops after a signal.")
    PROGRAM_BUILD = EventRow(
        5002,
        logging.INFO,
        "The program starts: the checksum of its sources, and their commit if it was built from a "
        "clean checkout.",
    )
    PROGRAM_CANNOT_START = EventRow(
        5001, logging.ERROR, "An address could not be opened or the data folder can't be used."
    )
    SETTINGS_ADOPTED = EventRow(5010, logging.INFO, "Changed settings are in use.")
    SETTINGS_REFUSED = EventRow(
        5011, logging.WARNING, "Changed settings are invalid; the current ones stay in use."
    )
    PROGRAM_FAULT = EventRow(
        5090, logging.ERROR, "Internal error in alderhatch; see the traceback."
    )

    @property
    def number(self) -> int:
        """Number of the event; it never changes."""
        return self.value.number
