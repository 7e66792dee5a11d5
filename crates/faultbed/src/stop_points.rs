//! Where the threads of a stopped process were: in the system call in which they wait for work, or elsewhere. A stop
//! elsewhere is a window that a check around the wait alone would miss.
use std::collections::BTreeMap;
use std::fs;
use std::io;

/// System calls in which a thread waits for work. Signals are received from a socket, which blocks in `recvfrom`; all
/// other sockets are read without blocking. Where a machine has no `epoll_wait` and no `poll`, the C library's functions
/// of these names make the two calls after them.
const WAITS: &[i64] = &[
    nix::libc::SYS_futex,
    nix::libc::SYS_recvfrom,
    #[cfg(target_arch = "x86_64")]
    nix::libc::SYS_epoll_wait,
    #[cfg(target_arch = "x86_64")]
    nix::libc::SYS_poll,
    nix::libc::SYS_epoll_pwait,
    nix::libc::SYS_ppoll,
    nix::libc::SYS_clock_nanosleep,
    nix::libc::SYS_restart_syscall,
];

/// How often a thread was stopped, and how often outside its wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopCount {
    pub stops: u64,
    pub outside_wait: u64,
}

/// Stops by thread name.
pub type StopCounts = BTreeMap<String, StopCount>;

/// Adds where each thread of a stopped process is.
pub fn count_threads(process: u32, counts: &mut StopCounts) -> io::Result<()> {
    for task in fs::read_dir(format!("/proc/{process}/task"))? {
        let folder = task?.path();
        let name = fs::read_to_string(folder.join("comm"))?;
        let call = fs::read_to_string(folder.join("syscall"))?;
        let count = counts.entry(name.trim().to_owned()).or_default();
        count.stops += 1;
        count.outside_wait += u64::from(!is_waiting(&call));
    }
    Ok(())
}

/// Whether a line of `/proc/PID/task/TID/syscall` names a call in which threads wait.
fn is_waiting(line: &str) -> bool {
    let number = line.split_whitespace().next().and_then(|number| number.parse().ok());
    number.is_some_and(|number: i64| WAITS.contains(&number))
}
