"""Plan replica groups and carry the plan out."""
