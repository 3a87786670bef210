"""What must hold for every request, checked at run time: events, guards and the count of violations."""
