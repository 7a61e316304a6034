"""Evidence of what held, and the audit trail."""
