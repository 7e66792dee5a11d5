//! Background work scheduled by priority and budget. [`schedule`] decides what runs next, without I/O and
//! with the time passed in; [`runner`] is the thread that runs it.
#![forbid(unsafe_code)]

pub mod runner;
pub mod schedule;
pub mod token_bucket;
