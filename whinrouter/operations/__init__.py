"""What people do to a running gateway, as state: hosts out, a drain, other settings. No I/O."""
