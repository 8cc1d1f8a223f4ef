//! What lives for one request: context, deadline, retry allowance and attempts.
