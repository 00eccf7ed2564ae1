"""Stand-ins and processes that the cases of the second review share."""
