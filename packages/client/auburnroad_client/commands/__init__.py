"""The commands of the operators' client, a module for each group."""
