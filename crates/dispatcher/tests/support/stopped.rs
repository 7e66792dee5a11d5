//! Waits for processes that are stopped by SIGSTOP.
use std::time::{Duration, Instant};

/// Waits until all threads of a process are stopped.
pub fn wait_until_stopped(process: u32, timeout: Duration) {
    let tasks = format!("/proc/{process}/task");
    let is_stopped = |task: std::io::Result<std::fs::DirEntry>| {
        let stat = std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap_or_default();
        stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
    };
    let end = Instant::now() + timeout;
    while !std::fs::read_dir(&tasks).unwrap().all(is_stopped) {
        assert!(Instant::now() < end, "the process was not stopped");
        std::thread::sleep(Duration::from_millis(1));
    }
}
