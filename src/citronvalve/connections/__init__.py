"""HTTP connections of the program's clients."""
