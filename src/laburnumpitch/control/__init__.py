"""The replicated log, its state machine and the services of the control leader."""
