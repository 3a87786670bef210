"""What must hold for every request, checked as it runs: events, guards and the count of violations."""
