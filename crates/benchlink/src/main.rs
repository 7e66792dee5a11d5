#![forbid(unsafe_code)]
use cherrypass_benchlink::serve;
use std::io::{stdin, stdout, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 18, stdin().lock());
    let output = BufWriter::with_capacity(1 << 18, stdout().lock());
    match serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cherrypass-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
