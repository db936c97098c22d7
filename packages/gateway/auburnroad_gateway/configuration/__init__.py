"""What operators and trainers ask for, as last written."""
