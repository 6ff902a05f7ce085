//! sched
