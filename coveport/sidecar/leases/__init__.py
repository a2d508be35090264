"""Who holds what, until when: a store with leases, and what an instance believes of its own."""
