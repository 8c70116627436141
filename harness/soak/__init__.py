"""A soak of whole fleets of real processes under faults from outside."""
