//! Starts, signals and stops processes of the built program.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::ffi::OsStr;
use std::fs::OpenOptions;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A running process; killed when dropped.
pub struct Process {
    child: Child,
}

/// The files and environment of a process.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    pub config: PathBuf,
    pub operator: Option<PathBuf>,
    /// File to which standard error is appended.
    pub log: PathBuf,
    /// Additional environment variables.
    pub environment: Vec<(&'static str, String)>,
}

/// Whether the program was built with the feature `faults`, that is, supports disk and clock faults.
pub fn supports_faults(program: &Path) -> io::Result<bool> {
    let output = Command::new(program).arg("version").stdin(Stdio::null()).output()?;
    Ok(String::from_utf8_lossy(&output.stdout).trim_end().ends_with(" with faults"))
}

/// Whether a build accepts these files. Builds without fleet support reject the `fleet` section.
pub fn accepts_files(program: &Path, files: &ProcessFiles) -> io::Result<bool> {
    let mut command = Command::new(program);
    command.arg("check").arg("--config").arg(&files.config).args(files.operator_arguments());
    let status = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).status()?;
    Ok(status.success())
}

impl ProcessFiles {
    fn operator_arguments(&self) -> impl Iterator<Item = &OsStr> {
        self.operator.iter().flat_map(|path| [OsStr::new("--operator"), path.as_os_str()])
    }
}

impl Drop for Process {
    /// Kills the process, so that an aborted play leaves none running.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts `serve`.
    pub fn start(program: &Path, files: &ProcessFiles) -> io::Result<Process> {
        let log = OpenOptions::new().create(true).append(true).open(&files.log)?;
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(&files.config).args(files.operator_arguments());
        command.envs(files.environment.iter().cloned());
        Process::spawn(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log))
    }

    /// Starts any command.
    pub fn spawn(command: &mut Command) -> io::Result<Process> {
        Ok(Process { child: command.spawn()? })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// The exit status, if the process has exited.
    pub fn exit_status(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Sends SIGTERM, and SIGKILL if it has not exited in time. Returns whether it exited successfully by
    /// itself.
    pub fn terminate(self, within: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        self.wait_for_exit(within)
    }

    /// Like `end`, but closes its standard input, which has to be a pipe, instead of sending SIGTERM.
    pub fn close_input(mut self, within: Duration) -> bool {
        drop(self.child.stdin.take());
        self.wait_for_exit(within)
    }

    fn wait_for_exit(mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}
