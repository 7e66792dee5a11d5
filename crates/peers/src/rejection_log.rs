//! Rate-limits the log lines about rejected datagrams: one per cause and source, then at most one a minute
//! with a count.
use crate::link::LinkError;
use cherrypass::time::{Span, Time};
use cherrypass_fleet::common::MemberId;
use std::collections::BTreeMap;
use std::net::IpAddr;

const REPEAT_INTERVAL: Span = Span::millis(60_000);
/// Maximum number of tracked pairs of cause and source; further ones share `Source::Others`.
const MAX_SOURCES: usize = 2_048;

/// Where a rejected datagram came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    Listed(MemberId),
    Address(IpAddr),
    Others,
}

#[derive(Debug, Default)]
pub struct RejectionLog {
    /// Time of the last log line of each, and the number of rejections since.
    recent: BTreeMap<(&'static str, Source), (Time, u64)>,
    /// Rejections since the start.
    pub total: u64,
}

impl RejectionLog {
    /// Counts a rejection. If a log line is due, returns the number of rejections since the last one,
    /// including this.
    pub fn count_rejection(&mut self, now: Time, why: LinkError, sender: Source) -> Option<u64> {
        self.total += 1;
        let mut key = (why.code(), sender);
        if self.recent.len() >= MAX_SOURCES && !self.recent.contains_key(&key) {
            self.recent.retain(|_, (at, _)| now - *at <= REPEAT_INTERVAL);
            if self.recent.len() >= MAX_SOURCES {
                key.1 = Source::Others;
            }
        }
        match self.recent.get_mut(&key) {
            Some((at, count)) if now - *at <= REPEAT_INTERVAL => {
                *count += 1;
                None
            }
            known => {
                let since = known.map_or(0, |(_, count)| *count) + 1;
                self.recent.insert(key, (now, 0));
                Some(since)
            }
        }
    }
}
