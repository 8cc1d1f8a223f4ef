//! Target selection: load estimates, zone preference, slow start, ejection and drain.
