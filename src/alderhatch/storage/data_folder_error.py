"""Error for a data folder that can't be used."""

from __future__ import annotations


class DataFolderError(Exception):
    """The data folder is damaged, belongs to another host or is in use; it needs manual repair.

    Continuing would mean to serve a part of the acknowledged data as if it were complete.
    """

    def __init__(self, name: str, offset: int, reason: str) -> None:
        """Initialize the error.

        Args:
            name: Name of the file in the folder.
            offset: Offset in the file, in bytes.
            reason: Why the file can't be used.
        """
        super().__init__(f"{name} at byte {offset}: {reason}")
        self.name = name
        self.offset = offset
        self.reason = reason
