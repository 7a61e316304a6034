"""Small specifications of the core protocols, for a model checker."""
