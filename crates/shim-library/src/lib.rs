//! The library that tests load into a process by `LD_PRELOAD`: it makes system calls fail and steps the wall clock as the
//! control file of `cherrypass-shim` says. It is a crate of its own since whatever links to it would be changed as well.
#[path = "../../shim/src/control.rs"]
#[allow(dead_code)]
mod control;
mod interpose;
