"""Weight versions: which gateway orders loads, and in which order."""
