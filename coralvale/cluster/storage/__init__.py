"""What stands on disk: the log of changes, the view, a snapshot."""
