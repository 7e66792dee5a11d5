//! Output of the commands. Unlike `println!` and `eprintln!` it doesn't panic where the output can't be written, as on a
//! full disk, so that exit codes stay as documented.
use std::fmt::Display;
use std::io::{self, Write};

/// Prints an error. If that fails too, the exit code has to tell.
pub fn print_error(message: impl Display) {
    let _ = writeln!(io::stderr().lock(), "{message}");
}

/// Prints a line of output; a failure is reported as an error. Returns whether it was printed.
pub fn print(message: impl Display) -> bool {
    let mut output = io::stdout().lock();
    match writeln!(output, "{message}").and_then(|()| output.flush()) {
        Ok(()) => true,
        Err(error) => {
            print_error(format_args!(
                "cherrypass: cannot write the output: {error}; free some space, or redirect it"
            ));
            false
        }
    }
}
