//! Applies batches of events to the instances of the decision module, and encodes their decisions.
use crate::wire::{action, event, Error, Fields, Frame, Reply, LIST_ENTRY_BYTES};
use cherrypass::calls::*;
use cherrypass::decision_engine::DecisionEngine;
use cherrypass::ids::*;
use cherrypass::time::{Span, Time};
use cherrypass_settings as settings;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};

/// Answers batches of events from `input` on `output` until the input ends.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Error> {
    let mut adapter = Adapter::default();
    while let Some(frame) = Frame::read(&mut input)? {
        let reply = adapter.process(&frame)?;
        output.write_all(&reply.into_bytes(frame.batch))?;
        output.flush()?;
    }
    Ok(())
}

#[derive(Default)]
struct Adapter {
    /// Instances, each with the positions of link load and load in its load reports.
    instances: BTreeMap<u16, (DecisionEngine, [Option<usize>; 2])>,
    lists: BTreeMap<u16, Vec<Listing>>,
}

impl Adapter {
    fn process(&mut self, frame: &Frame) -> Result<Reply, Error> {
        let now = Time(frame.clock);
        let mut changed: Vec<u16> = Vec::new();
        for record in frame.records() {
            let code = record.u16(0);
            if code == event::LIST_CONTENT {
                let list = frame.tail(record, 4, LIST_ENTRY_BYTES)?;
                let listings = list.chunks_exact(LIST_ENTRY_BYTES).map(|entry| listing(frame, Fields(entry)));
                let listings = listings.collect::<Result<Vec<_>, Error>>()?;
                self.lists.insert(record.u16(2), listings);
                continue;
            }
            let instance = record.u16(2);
            self.apply_event(frame, now, code, instance, record)?;
            if !changed.contains(&instance) {
                changed.push(instance);
            }
        }
        let mut reply = Reply::default();
        for instance in changed {
            if let Some((engine, _)) = self.instances.get_mut(&instance) {
                while let Some(decision) = engine.next_decision(now) {
                    encode_decision(&mut reply, instance, decision);
                }
            }
        }
        Ok(reply)
    }

    fn apply_event(
        &mut self,
        frame: &Frame,
        now: Time,
        code: u16,
        instance: u16,
        record: Fields,
    ) -> Result<(), Error> {
        if code == event::START {
            let settings_text = frame.tail(record, 12, 1)?;
            let root: Value = serde_json::from_slice(settings_text)
                .map_err(|error| frame.error(format!("the settings aren't JSON: {error}")))?;
            let set = settings::read(&root).map_err(|error| frame.error(error))?;
            let columns = settings::report_columns(&root);
            let position = |names: &[&str]| columns.iter().position(|known| names.contains(known));
            let columns = [position(&[settings::LINK_LOAD_COLUMN]), position(&settings::LOAD_COLUMNS)];
            self.instances.insert(instance, (DecisionEngine::new(set, record.u64(4), now), columns));
            return Ok(());
        }
        if !(event::LIST..=event::PURGE).contains(&code) {
            return Err(frame.error(format!("unknown event code {code}")));
        }
        let unknown = || frame.error(format!("event {code} for instance {instance}, which has not started"));
        if code == event::STOP {
            return self.instances.remove(&instance).map(drop).ok_or_else(unknown);
        }
        let (engine, columns) = self.instances.get_mut(&instance).ok_or_else(unknown)?;
        match code {
            event::LIST => {
                let whole = match record.u8(4) {
                    0 => return Ok(()),
                    1 | 4 => true,
                    3 => false,
                    other => return Err(frame.error(format!("unknown kind of list {other}"))),
                };
                let number = record.u16(9);
                let list = self.lists.get(&number);
                let list = list.ok_or_else(|| {
                    frame.error(format!("list {number} was not sent before it is referred to"))
                })?;
                engine.update_hosts(now, list, whole);
            }
            event::VISIT => engine.visit_arrived(now, visit(record)),
            event::HAND_OFF_ENDED => engine.hand_off_ended(now, ended(frame, record, *columns)?),
            event::CLIENT_LEFT => engine.close_visit(VisitId(record.u32(4))),
            event::WAKE => engine.tick(now),
            event::PROBE_ANSWERED => {
                engine.probe_answered(now, host(record, 6), report(record, 16, *columns))
            }
            event::PURGE => {
                let object = Some(record.u64(10)).filter(|key| *key != 0).map(ObjectId);
                let ago = Span(u64::from(record.u32(4)));
                engine.record_purge(now, GroupId(u32::from(record.u16(8))), object, ago);
            }
            _ => {}
        }
        Ok(())
    }
}

fn host(fields: Fields, at: usize) -> HostId {
    HostId(u64::from(fields.u32(at)) << 16 | u64::from(fields.u16(at + 4)))
}

fn host_bytes(host: HostId) -> [u8; 6] {
    let [a, b, c, d] = ((host.0 >> 16) as u32).to_le_bytes();
    let [e, f] = (host.0 as u16).to_le_bytes();
    [a, b, c, d, e, f]
}

fn listing(frame: &Frame, entry: Fields) -> Result<Listing, Error> {
    Ok(Listing {
        host: host(entry, 1),
        location: LocationId(entry.u8(0).into()),
        kind: KindId(entry.u8(11).into()),
        cell: CellId(entry.u16(12)),
        weight: f64::from(entry.f32(7)),
        started_at: Some(entry.u64(14)).filter(|at| *at != 0).map(Time),
        phase: match entry.u8(22) {
            0 => Phase::Gone,
            1 => Phase::Ready,
            2 => Phase::Draining,
            other => return Err(frame.error(format!("unknown phase {other} of a list's entry"))),
        },
    })
}

fn visit(record: Fields) -> Visit {
    let kilobytes = f64::from(record.f32(21));
    Visit {
        id: VisitId(record.u32(4)),
        class: ClassId(record.u8(20).into()),
        object: ObjectId(record.u64(12)),
        group: GroupId(record.f32(8) as u32),
        part: record.f32(35) as u32,
        kilobytes: Some(kilobytes).filter(|kb| *kb > 0.0),
        deadline: Time(record.u64(25)),
    }
}

fn report(record: Fields, at: usize, columns: [Option<usize>; 2]) -> Report {
    let is_present = |column: &usize| *column < usize::from(record.u8(at));
    let value = |column: Option<usize>| {
        column.filter(is_present).map(|column| record.f32(at + 1 + 4 * column).into())
    };
    Report { link_load: value(columns[0]), load: value(columns[1]) }
}

fn ended(frame: &Frame, record: Fields, columns: [Option<usize>; 2]) -> Result<HandOffEnd, Error> {
    use Note::*;
    use Outcome::*;
    Ok(HandOffEnd {
        visit: VisitId(record.u32(4)),
        number: HandOffNumber(record.u8(20)),
        duration: Span(u64::from(record.u32(16))),
        report: report(record, 30, columns),
        is_final: record.u8(29) != 0,
        outcome: match record.u16(27) {
            1 => Served,
            2 => Error,
            3 => Full,
            4 => TimedOut,
            5 => ConnectFailed,
            6 => Reset,
            7 => Cancelled,
            8 => Expired,
            9 => Miss,
            other => return Err(frame.error(format!("unknown outcome {other}"))),
        },
        note: match record.u32(12) {
            1 => Hit,
            2 => Filled,
            3 => FilledByOrigin,
            4 => Joined,
            5 => Stale,
            6 => SourceRefused,
            7 => SourceUnreachable,
            8 => SourceMiss,
            9 => NoCapacity,
            10 => OriginFailed,
            _ => Unspecified,
        },
    })
}

fn encode_decision(reply: &mut Reply, instance: u16, decision: Decision) {
    match decision {
        Decision::HandOff { visit, host, times_out_at, fill, .. } => {
            let mut record =
                reply.record(if fill.is_some() { action::READ_THROUGH } else { action::HAND_OFF }, instance);
            record.put(4, &visit.0.to_le_bytes());
            record.put(8, &host_bytes(host)).put(14, &times_out_at.0.to_le_bytes());
            if let Some(fill) = fill {
                let oldest = fill.max_age.0.min(u64::from(u32::MAX)) as u32;
                let bits = u8::from(fill.may_join)
                    | u8::from(fill.cached_only) << 1
                    | u8::from(fill.refresh_stale) << 3;
                record.put(22, &host_bytes(fill.source)).put(28, &[fill.rank]);
                record.put(29, &oldest.to_le_bytes()).put(33, &[bits]);
            }
        }
        Decision::Cancel { visit, number } => {
            reply.record(action::CANCEL, instance).put(4, &visit.0.to_le_bytes()).put(8, &[number.0]);
        }
        Decision::Probe { host } => {
            reply.record(action::PROBE, instance).put(4, &host_bytes(host));
        }
        Decision::Refuse { visit, retry_after } => {
            let wait = retry_after.0.min(u64::from(u32::MAX)) as u32;
            reply.record(action::REFUSE, instance).put(4, &visit.0.to_le_bytes()).put(8, &wait.to_le_bytes());
        }
        Decision::Fail { visit } => {
            reply.record(action::FAIL, instance).put(4, &visit.0.to_le_bytes());
        }
        Decision::Wake { after } => {
            let wait = after.0.min(u64::from(u32::MAX)) as u32;
            reply.record(action::WAKE, instance).put(4, &wait.to_le_bytes());
        }
        Decision::Log(line) => reply.record(action::LOG, instance).put_tail(4, line.as_bytes()),
    }
}
