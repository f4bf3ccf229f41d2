"""A randomised soak of the real program under faults from outside."""
