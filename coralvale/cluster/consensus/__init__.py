"""Views and the one order of changes among the members with disks."""
