"""The replicated log of the control hosts, as a state machine without input or output."""
