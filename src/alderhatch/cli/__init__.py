"""The command-line programs."""
