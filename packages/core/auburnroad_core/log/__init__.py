"""Records of the log service, the folds over them, and their I/O."""
