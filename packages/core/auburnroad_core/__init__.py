"""Data types, log fold, wire and settings that every package speaks."""
