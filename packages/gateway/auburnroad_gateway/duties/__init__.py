"""Calls to the platform's API that one gateway at a time makes."""
