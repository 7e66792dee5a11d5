//! Restarts under load: of thirty dispatchers on one core, with clients, hosts and one change log, nine in
//! ten are ready within 6 s, and all serve afterwards.
#[allow(dead_code)]
#[path = "discovery/bed.rs"]
mod bed;

use bed::*;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

const COUNT: usize = 30;
/// How many are restarted at a time.
const BATCH_SIZE: usize = 3;
const READY_IN: Duration = Duration::from_secs(6);
/// Interval between a client's requests.
const PACE: Duration = Duration::from_millis(100);

/// The first core that this process may run on.
fn allowed_core() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let allowed = status.lines().find_map(|line| line.strip_prefix("Cpus_allowed_list:")).unwrap();
    allowed.trim().split([',', '-']).next().unwrap().to_owned()
}

fn start(listen: &str, log: SocketAddr) -> Dispatcher {
    let mut on_one_core = Command::new("taskset");
    on_one_core.arg("-c").arg(allowed_core()).arg(env!("CARGO_BIN_EXE_cherrypass"));
    Dispatcher::start_by(on_one_core, &config(listen, log, "null", 64))
}

/// How long it takes until the status is ready, even if nothing listens yet.
fn time_until_ready(listen: SocketAddr, since: Instant) -> Duration {
    while since.elapsed() < 3 * READY_IN {
        let status = || -> std::io::Result<Answer> {
            let mut client = Client::connect(listen)?;
            client.send_status_request()?;
            client.answer()
        };
        if matches!(status(), Ok(Answer::Ready(true))) {
            break;
        }
        sleep(Duration::from_millis(20));
    }
    since.elapsed()
}

/// Whether a request is served; a process may report that it is ready and serve nothing.
fn serves(listen: SocketAddr) -> bool {
    let served = || -> std::io::Result<bool> {
        let mut client = Client::connect(listen)?;
        client.send_request(1)?;
        Ok(matches!(client.answer()?, Answer::Served))
    };
    let end = Instant::now() + READY_IN;
    std::iter::repeat_with(served).take_while(|_| Instant::now() < end).any(|served| served.unwrap_or(false))
}

struct Fleet {
    dispatchers: Vec<Option<Dispatcher>>,
    listen: Vec<SocketAddr>,
    log: SocketAddr,
}

impl Fleet {
    /// Stops these dispatchers by SIGTERM. Each is started again as soon as it has ended, and the time until
    /// it is ready is measured from then.
    fn restart(
        &mut self,
        which: impl Iterator<Item = usize>,
    ) -> Vec<JoinHandle<(usize, Dispatcher, Duration)>> {
        let restart = |place: usize| {
            let mut old = self.dispatchers[place].take().unwrap();
            let (listen, log) = (self.listen[place], self.log);
            old.signal("-TERM");
            spawn(move || {
                assert!(old.child.wait().unwrap().success(), "it did not exit successfully");
                let began = Instant::now();
                let ready = spawn(move || time_until_ready(listen, began));
                let new = start(&listen.to_string(), log);
                (place, new, ready.join().unwrap())
            })
        };
        which.map(restart).collect()
    }

    fn join(&mut self, restarts: Vec<JoinHandle<(usize, Dispatcher, Duration)>>) -> Vec<Duration> {
        let ended = restarts.into_iter().map(|restart| restart.join().unwrap());
        let ended = ended.map(|(place, new, ready)| {
            self.dispatchers[place] = Some(new);
            ready
        });
        ended.collect()
    }
}

fn check_ready_times(case: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("{case}: half in {:?}, nine in ten in {:?}, all in {:?}", at(0.5), at(0.9), at(1.0));
    let ready = times.iter().filter(|time| **time < READY_IN).count();
    assert!(times.len() == COUNT && ready * 10 >= COUNT * 9, "{case}: {ready} of {} in time", times.len());
}

/// Answers with the list at once, and with no changes after that.
fn answer_list_requests(polls: Receiver<Poll>, list: String) {
    for poll in polls {
        let list = list.clone();
        spawn(move || {
            if poll.since == 0 {
                let _ = poll.try_write(http(&body(&[list])).as_bytes());
            } else {
                sleep(Duration::from_millis(900));
                let _ = poll.try_write(http(&body(&[])).as_bytes());
            }
        });
    }
}

#[test]
fn nine_in_ten_restarted_dispatchers_are_ready_in_time() {
    let hosts = FakeHosts::new();
    let list = list(
        1,
        true,
        &[
            ("a", hosts.start("a"), "in_service"),
            ("b", hosts.start("b"), "in_service"),
            ("o", hosts.start("o"), "in_service"),
        ],
    );
    let _requests = hosts.answer_all();
    let log = FakeChangeLog::start();
    let address = log.address;
    let (polls, host_list) = (log.into_polls(), list.clone());
    spawn(move || answer_list_requests(polls, host_list));
    let starts: Vec<_> = (0..COUNT).map(|_| spawn(move || start("127.0.0.1:0", address))).collect();
    let dispatchers: Vec<Option<Dispatcher>> = starts.into_iter().map(|thread| thread.join().ok()).collect();
    let listen: Vec<SocketAddr> =
        dispatchers.iter().map(|dispatcher| dispatcher.as_ref().unwrap().listen).collect();
    for listen in &listen {
        time_until_ready(*listen, Instant::now());
    }
    let mut fleet = Fleet { dispatchers, listen: listen.clone(), log: address };
    let listening = listen.clone();

    let (served, is_over) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = listen
        .into_iter()
        .map(|listen| {
            let (served, is_over) = (served.clone(), is_over.clone());
            spawn(move || {
                let mut client = None;
                for object in 0.. {
                    if is_over.load(SeqCst) {
                        return;
                    }
                    client = client.or_else(|| Client::connect(listen).ok());
                    let answer = client.as_mut().map(|client: &mut Client| {
                        client.send_request(object).and_then(|()| client.answer())
                    });
                    match answer {
                        Some(Ok(Answer::Served)) => {
                            served.fetch_add(1, SeqCst);
                        }
                        Some(Err(_)) => client = None,
                        _ => {}
                    }
                    sleep(PACE);
                }
            })
        })
        .collect();

    let mut steps = Vec::new();
    for step in 0..COUNT / BATCH_SIZE {
        steps.extend(fleet.restart(step * BATCH_SIZE..(step + 1) * BATCH_SIZE));
        sleep(Duration::from_millis(300));
    }
    check_ready_times("a tenth at a time", fleet.join(steps));

    // All at once, while the change log is down until about 3 s after they have ended, which takes 1 s.
    let down = RefusingAddress::start();
    fleet.log = down.address();
    let all = fleet.restart(0..COUNT);
    spawn(move || {
        sleep(Duration::from_secs(4));
        answer_list_requests(down.listen().into_polls(), list);
    });
    check_ready_times("all at once, the change log down for 3 s", fleet.join(all));
    let not_serving: Vec<_> = listening.into_iter().filter(|listen| !serves(*listen)).collect();
    assert!(not_serving.is_empty(), "not serving: {not_serving:?}");
    is_over.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    println!("{} requests served meanwhile", served.load(SeqCst));
    assert!(served.load(SeqCst) > COUNT * 10, "{}", served.load(SeqCst));
}
