"""Records, error kinds, missing values and the clock; imports nothing."""
