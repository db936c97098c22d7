"""A small language in which scenarios of failures are written."""
