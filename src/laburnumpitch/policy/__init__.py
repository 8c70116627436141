"""Scheduling decisions as pure logic over in-memory state; nothing here does I/O."""
