"""Data types, log folds, protocols and settings shared by all packages."""
