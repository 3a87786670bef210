"""State that operators change at run time: hosts taken out, a drain, reloaded settings. No I/O."""
