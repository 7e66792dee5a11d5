//! Truncated, modified and missing files: all valid data is recovered, and damage is reported with its
//! location.
use cherrypass::time::UnixTime;
use cherrypass_store::disk::{self, Disk as _};
use cherrypass_store::engine::{self, Batch, CommitItem, Engine, Options};
use cherrypass_store::error::Error;
use cherrypass_store::format::{self, SegmentHeader};
use cherrypass_store::index::Entry;
use cherrypass_store::simulated::{Disk, Image};
use cherrypass_store::{export, repair};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::sync::Arc;
use test_case::test_case;

fn options() -> Options {
    Options { segment_bytes: 400, seed: 7, ..Options::default() }
}

fn open(image: &Image) -> Result<Engine, Error> {
    Engine::open(Arc::new(Disk::new(image.clone(), None)), options())
}

type Model = BTreeMap<Vec<u8>, Vec<u8>>;

fn model(engine: &Engine) -> Model {
    let view = engine::read_view(&engine.view);
    let value = |entry: Entry| view.segment(entry.segment).unwrap().read_value(&entry).unwrap();
    view.index.records_after(&None).map(|(_, key, entry)| (key.to_vec(), value(entry))).collect()
}

/// Batches of two keys each, so that a partially applied batch is detected.
fn batch(number: u8) -> Batch {
    let pair = Batch::new().put("s", [number % 8, 0], vec![number; 40]);
    pair.put("s", [number % 8, 1], vec![number; usize::from(number) % 30])
}

/// Commits batches; returns the disk's state after all of them, and the model before the first and after
/// each.
fn commit_batches(batches: u8) -> (Image, Vec<Model>) {
    let disk = Disk::new(Image::default(), None);
    let mut engine = Engine::open(Arc::new(disk.clone()), options()).unwrap();
    let mut models = vec![model(&engine)];
    for number in 0..batches {
        engine.commit(UnixTime(1), &[CommitItem::Batch(&batch(number))]).unwrap();
        models.push(model(&engine));
    }
    (disk.image(), models)
}

fn last_segment(image: &Image) -> String {
    image.names().filter(|name| name.ends_with(".log")).last().unwrap().to_owned()
}

#[test]
fn every_file_truncated_at_every_byte() {
    let (image, models) = commit_batches(23);
    let last = last_segment(&image);
    assert!(image.names().count() > 4);
    for name in image.names() {
        let bytes = image.bytes(name).unwrap();
        for length in 0..bytes.len() {
            let truncated = image.with_file(name, bytes[..length].to_vec());
            let result = open(&truncated);
            if name != last {
                // A sealed segment: the missing data was acknowledged, so its loss is reported with the
                // location.
                let Err(Error::Damaged(damage)) = result else {
                    panic!("{name} truncated at {length} is not detected")
                };
                assert!(
                    damage.file == *name && damage.offset <= length as u64,
                    "{damage} ({name}, {length})"
                );
                continue;
            }
            let header = SegmentHeader::decode(bytes).unwrap();
            let (mut at, mut complete_batches) =
                (format::SEGMENT_HEADER_BYTES, header.first_seq.0 as usize - 1);
            while let Ok(frame) = format::decode_frame(&bytes[at..length.max(at)], header.salt, at as u64) {
                (at, complete_batches) = (at + frame.length(), complete_batches + 1);
            }
            assert_eq!(model(&result.unwrap()), models[complete_batches], "{name} truncated at {length}");
        }
    }
}

#[test]
fn damage_of_sealed_data_is_detected() {
    let (image, _) = commit_batches(12);
    let last = last_segment(&image);
    for name in image.names().filter(|name| **name != last) {
        let bytes = image.bytes(name).unwrap();
        for at in 0..bytes.len() {
            let mut corrupted = bytes.to_vec();
            corrupted[at] ^= 1 << (at % 8);
            let Err(error) = open(&image.with_file(name, corrupted)) else {
                panic!("{name} byte {at} is not detected")
            };
            let is_located = match &error {
                Error::Damaged(damage) => damage.file == *name && damage.offset <= at as u64,
                other => matches!(other, Error::Version { .. }),
            };
            assert!(is_located, "{name} byte {at}: {error}");
        }
    }
}

#[test]
fn a_damaged_batch_before_a_later_one_is_not_a_torn_tail() {
    let disk = Disk::new(Image::default(), None);
    let options_of_large_segments = Options { segment_bytes: 1 << 20, ..options() };
    let mut engine = Engine::open(Arc::new(disk.clone()), options_of_large_segments).unwrap();
    for number in 0..3 {
        engine.commit(UnixTime(1), &[CommitItem::Batch(&batch(number))]).unwrap();
    }
    let name = last_segment(&disk.image());
    let corrupted = |image: &Image, offset_from_end: usize| {
        let mut bytes = image.bytes(&name).unwrap().to_vec();
        let at = bytes.len() - offset_from_end;
        bytes[at] ^= 4;
        open(&image.with_file(&name, bytes))
    };
    // While the run lasts, a damaged last batch can't be distinguished from a torn one; after its end mark it
    // can.
    assert!(corrupted(&disk.image(), 150).is_err());
    assert_eq!(model(&corrupted(&disk.image(), 3).unwrap()).len(), 4);
    engine.write_end_mark(UnixTime(1)).unwrap();
    assert!(matches!(corrupted(&disk.image(), format::FRAME_HEADER_BYTES + 3), Err(Error::Damaged(_))));
}

#[test]
fn a_torn_record_followed_by_a_valid_stale_batch() {
    let (image, models) = commit_batches(3);
    let name = last_segment(&image);
    let bytes = image.bytes(&name).unwrap().to_vec();
    let header = SegmentHeader::decode(&bytes).unwrap();
    let at = format::SEGMENT_HEADER_BYTES;
    let first = format::decode_frame(&bytes[at..], header.salt, at as u64).unwrap().length();
    // A copy of a valid batch behind the last one, directly or after a partial batch.
    for gap in [0, 17] {
        let mut longer = bytes.clone();
        longer.extend(vec![0xff; gap]);
        longer.extend_from_slice(&bytes[at..at + first]);
        assert_eq!(model(&open(&image.with_file(&name, longer)).unwrap()), models[3]);
    }
}

#[test]
fn a_missing_segment_is_damage() {
    let (image, _) = commit_batches(23);
    let last = last_segment(&image);
    for name in image.names().filter(|name| **name != last) {
        let Err(Error::Damaged(damage)) = open(&image.without_file(name)) else {
            panic!("the missing {name} is not detected")
        };
        assert!(damage.description.contains("missing") && damage.file == *name, "{damage}");
    }
}

#[test_case(true; "newer than the log")]
#[test_case(false; "older than the log")]
fn a_checkpoint_newer_or_older_than_the_log(is_newer: bool) {
    let disk = Disk::new(Image::default(), None);
    let mut engine = Engine::open(Arc::new(disk.clone()), options()).unwrap();
    let mut checkpoints = Vec::new();
    for number in 0..16 {
        engine.commit(UnixTime(1), &[CommitItem::Batch(&batch(number))]).unwrap();
        let mut writer =
            cherrypass_store::checkpoint::Writer::create(engine.disk.clone(), engine.position()).unwrap();
        while writer.step(&engine.view, 1).unwrap().1 {}
        writer.finish(engine.position()).unwrap();
        checkpoints.push(disk.image());
    }
    let logs =
        |image: &Image| image.names().filter(|n| n.ends_with(".log")).map(str::to_owned).collect::<Vec<_>>();
    let (first, last) = (&checkpoints[2], &checkpoints[15]);
    let (checkpoint_image, log_image) = if is_newer { (last, first) } else { (first, last) };
    let checkpoint_name = checkpoint_image.names().find(|name| name.ends_with(".checkpoint")).unwrap();
    let mut mixed = Image::default()
        .with_file(checkpoint_name, checkpoint_image.bytes(checkpoint_name).unwrap().to_vec());
    for name in logs(log_image) {
        mixed = mixed.with_file(&name, log_image.bytes(&name).unwrap().to_vec());
    }
    match open(&mixed) {
        Ok(result) if !is_newer => assert_eq!(model(&result), model(&engine)),
        Err(Error::Damaged(damage)) if is_newer => {
            assert!(
                damage.description.contains("checkpoint") || damage.description.contains("missing"),
                "{damage}"
            )
        }
        other => panic!("{:?}", other.map(|_| ()).map_err(|error| error.to_string())),
    }
}

#[test]
fn a_repair_keeps_valid_batches_and_reports_the_rest() {
    let (image, _) = commit_batches(12);
    let name = image.names().next().unwrap().to_owned();
    let mut bytes = image.bytes(&name).unwrap().to_vec();
    bytes[format::SEGMENT_HEADER_BYTES + 60] ^= 1;
    let disk = Disk::new(image.with_file(&name, bytes), None);
    let mut batches = 0;
    let result = repair::salvage(&disk, |_| {
        batches += 1;
        Ok(())
    });
    let result = result.unwrap();
    assert_eq!((batches, result.lost.len()), (11, 1));
    assert!(result.lost[0].file == name && result.lost[0].offset == format::SEGMENT_HEADER_BYTES as u64);
    assert!(disk.names().unwrap().len() == image.names().count());
}

#[test]
fn a_truncated_export_is_rejected() {
    let (image, models) = commit_batches(20);
    let engine = open(&image).unwrap();
    let mut bytes = Vec::new();
    export::export(&engine::read_view(&engine.view), UnixTime(5), 99, &mut bytes).unwrap();
    for length in 0..bytes.len() {
        assert!(export::import("x", &bytes[..length]).is_err(), "truncated at {length}");
    }
    assert_eq!(export::count_puts(&export::import("x", &bytes).unwrap()), models[20].len());
    // An export is a valid store by itself.
    let restored = open(&Image::default().with_file("0000000001.log", bytes)).unwrap();
    assert_eq!(model(&restored), models[20]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300), is_appended in any::<bool>()) {
        let (image, _) = commit_batches(2);
        let name = last_segment(&image);
        let mut content = if is_appended { image.bytes(&name).unwrap().to_vec() } else { Vec::new() };
        content.extend_from_slice(&bytes);
        let corrupted = image.with_file(&name, content.clone());
        let _ = open(&corrupted).map(|engine| model(&engine));
        let _ = export::import("x", &content);
        let _ = disk::read_range(&*Disk::new(corrupted, None).open(&name).unwrap(), 3, 9);
    }
}
