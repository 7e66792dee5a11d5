//! The decisions of cherrypass, without input or output: a host feeds calls and a clock to
//! [`brain::Brain`] and pulls decisions from it. No transport is known here.
#![forbid(unsafe_code)]

pub mod brain;
pub mod calls;
pub mod containers;
pub mod ids;
pub mod popularity;
pub mod purges;
pub mod settings;
pub mod shared;
pub mod state;
pub mod time;
