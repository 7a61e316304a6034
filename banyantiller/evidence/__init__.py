"""Evidence of kept and broken promises, and the audit trail."""
