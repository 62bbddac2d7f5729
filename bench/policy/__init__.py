"""The entry's policy under load and faults, measured on a virtual clock against naive baselines."""
