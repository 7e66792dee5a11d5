//! Runs the benchmark adapter on standard input and output.
#![forbid(unsafe_code)]
use cherrypass_benchlink::serve;
use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

const BUFFER_BYTES: usize = 1 << 18;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, stdout().lock());
    match serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cherrypass-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
