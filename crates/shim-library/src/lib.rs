//! Library that tests load into a process with `LD_PRELOAD`. It makes system calls fail and steps the wall
//! clock as set in the control file of `cherrypass-shim`. It is a separate crate because any program linked
//! to it would be affected.
#[path = "../../shim/src/control.rs"]
#[allow(dead_code)]
mod control;
mod interpose;
