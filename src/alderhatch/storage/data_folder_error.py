"""Why a data folder can't be used."""

from __future__ import annotations


class DataFolderError(Exception):
    """The data folder is damaged, foreign or in use; a person has to look at it.

    Going on would mean to serve with a part of what was acknowledged, as if it were the whole.
    """

    def __init__(self, name: str, offset: int, why: str) -> None:
        """Say what is wrong.

        Args:
            name: The file's name in the folder.
            offset: Where in the file, in bytes.
            why: What is wrong there.
        """
        super().__init__(f"{name} at byte {offset}: {why}")
        self.name = name
        self.offset = offset
        self.why = why
