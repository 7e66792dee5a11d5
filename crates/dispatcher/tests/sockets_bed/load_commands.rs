//! Commands on time, and on the load of ordinary, misbehaving and sized clients.
use super::clients::{encode_request, Client};
use super::scenario::Scenario;
use super::SIZES;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Number of ordinary clients whose times are measured.
const ORDINARY_CLIENTS: usize = 4;

/// Number of clients that request objects of all sizes, and how many requests each has open.
const SIZED_CLIENTS: usize = 8;
const SIZED_OPEN_REQUESTS: u32 = 8;

/// Interval between misbehaving clients.
const MISBEHAVING_INTERVAL: Duration = Duration::from_millis(5);

/// Runs clients that flood and leave, stop within a message, reset, repeat ids or never read; returns their
/// number.
fn run_misbehaving_clients(listen: &str, until: &AtomicBool) -> usize {
    let mut unread_clients = Vec::new();
    let mut count = 0;
    while !until.load(Ordering::SeqCst) {
        count += 1;
        let mut client = Client::start(listen, true, count % 5 == 4);
        let port = client.stream.local_addr().unwrap().port();
        let requests = |ids: std::ops::RangeInclusive<u32>| -> Vec<u8> {
            ids.flat_map(|id| encode_request(port, id, "video", &format!("{port:x}{id:x}"), &[])).collect()
        };
        let bytes = match count % 5 {
            0 => requests(1..=300),
            1 => [requests(1..=3), vec![0x94, 0]].concat(),
            2 => requests(1..=5),
            3 => [requests(1..=3), requests(2..=4)].concat(),
            _ => requests(1..=32),
        };
        let _ = client.stream.write_all(&bytes);
        match count % 5 {
            2 => client.reset(),
            4 => unread_clients.push(client),
            _ => {}
        }
        sleep(MISBEHAVING_INTERVAL);
    }
    count
}

impl Scenario {
    /// Runs ordinary clients, one request after another. Returns the median, the 99th percentile and the
    /// number served.
    fn run_ordinary_clients(&self, count: usize) -> ([Duration; 2], usize) {
        let threads = (0..ORDINARY_CLIENTS).map(|_| {
            let mut client = Client::start(&self.dispatchers[0].listen, false, false);
            spawn(move || {
                let port = client.stream.local_addr().unwrap().port();
                let latencies = (1..=count as u32).map(|id| {
                    client.send_request(id, "video", &format!("{port:x}{id:x}"), &[]);
                    let answer = client.expect_answer(id);
                    assert!(["settled", "Rejected"].contains(&&answer.word[..]), "{answer:?}");
                    (answer.at - client.sent_at[&id], answer.word == "settled")
                });
                latencies.collect::<Vec<_>>()
            })
        });
        let threads: Vec<_> = threads.collect();
        let mut all: Vec<_> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
        all.sort();
        let percentile = |part: usize| all[(all.len() - 1) * part / 100].0;
        ([percentile(50), percentile(99)], all.iter().filter(|(_, served)| *served).count())
    }

    /// Runs clients that request objects of all sizes. Returns the share served of all, of the largest tenth
    /// and of the next fifth.
    fn shares_by_size(&self, count: u32) -> [f64; 3] {
        let threads = (0..SIZED_CLIENTS).map(|_| {
            let mut client = Client::start(&self.dispatchers[0].listen, false, false);
            spawn(move || {
                let port = client.stream.local_addr().unwrap().port();
                let mut served = [[0.0_f64; 2]; SIZES.len()];
                for id in 1..=count + SIZED_OPEN_REQUESTS {
                    let size_index = |id: u32| [0, 1, 1, 2, 2, 2, 2, 2, 2, 2][id as usize % 10];
                    if id <= count {
                        let object = format!("{port:x}{id:x}{}", SIZES[size_index(id)].0);
                        client.send_request(id, "video", &object, &[]);
                    }
                    if let Some(id) = id.checked_sub(SIZED_OPEN_REQUESTS).filter(|id| *id > 0) {
                        let answer = client.expect_answer(id);
                        assert!(["settled", "Rejected"].contains(&&answer.word[..]), "{answer:?}");
                        assert!(
                            answer.word != "settled" || answer.bytes == SIZES[size_index(id)].1,
                            "{} bytes",
                            answer.bytes
                        );
                        served[size_index(id)][usize::from(answer.word == "settled")] += 1.0;
                    }
                }
                served
            })
        });
        let threads: Vec<_> = threads.collect();
        let all: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
        let share = |range: std::ops::Range<usize>| {
            let counts = all.iter().flat_map(|sizes| &sizes[range.clone()]);
            let [not, served] = counts.fold([0.0; 2], |sum, count| [sum[0] + count[0], sum[1] + count[1]]);
            served / (not + served)
        };
        [share(0..SIZES.len()), share(0..1), share(1..2)]
    }

    /// Runs a command on time or load; false if it is none.
    pub fn run_load_command(&mut self, words: &[&str]) -> bool {
        match words {
            ["wait", ms] => sleep(Duration::from_millis(ms.parse().unwrap())),
            ["lap", limit @ ..] => {
                let elapsed = self.last_lap.replace(Instant::now()).map(|lap| lap.elapsed());
                if let Some(limit) = limit.first() {
                    assert!(
                        elapsed.unwrap() < Duration::from_millis(limit.parse().unwrap()),
                        "after {elapsed:?}"
                    );
                }
            }
            ["usual", count, beside @ ..] => {
                let count = count.parse().unwrap();
                let (alone, served) = self.run_ordinary_clients(count);
                println!("alone: {alone:?}, {served} served");
                let ["beside", limit] = beside else { return true };
                let (until, listen) = (Arc::new(AtomicBool::new(false)), self.dispatchers[0].listen.clone());
                let misbehave_until = until.clone();
                let misbehaving = spawn(move || run_misbehaving_clients(&listen, &misbehave_until));
                let (beside, served) = self.run_ordinary_clients(count);
                until.store(true, Ordering::SeqCst);
                println!(
                    "beside {} misbehaving ones: {beside:?}, {served} served",
                    misbehaving.join().unwrap()
                );
                let limit = Duration::from_millis(limit.parse().unwrap());
                assert!(
                    beside[1] < limit,
                    "99th percentile {:?} beside misbehaving clients, {:?} alone",
                    beside[1],
                    alone[1]
                );
            }
            ["largest", count, part] => {
                let [all, largest, next] = self.shares_by_size(count.parse().unwrap());
                println!("served {all:.3}, of the largest tenth {largest:.3}, of the next fifth {next:.3}");
                let min = part.parse::<f64>().unwrap() * all;
                assert!(all >= 0.5 && largest >= min && next >= min, "{all} {largest} {next}");
            }
            _ => return false,
        }
        true
    }
}
