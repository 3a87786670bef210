"""State that operators change at run time: hosts out, a drain of the gateway, reloaded settings. No I/O."""
