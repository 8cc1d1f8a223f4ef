//! Admission control in front of a backend server: limits, queue and shedding.
