//! At-most-once execution of non-idempotent requests by idempotency key.
