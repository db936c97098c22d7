"""Records of the log service and the pure folds over them."""
