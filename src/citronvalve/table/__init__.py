"""The operators' table: rows, validation, versions and the audit trail."""
