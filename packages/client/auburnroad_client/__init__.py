"""The operators' client auburnroad."""
