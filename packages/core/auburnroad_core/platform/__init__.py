"""The platform behind narrow interfaces, one module for each wire."""
