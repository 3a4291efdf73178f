"""Which upstream gets which work, and when there is room for it."""
