"""The operators' table: rows, checks, versions and the audit trail."""
