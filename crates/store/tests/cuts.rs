//! Files that are cut, changed or missing: exactly what is whole comes back, and damage is told with its place.
use cherrypass::time::UnixTime;
use cherrypass_store::disk::{self, Disk as _};
use cherrypass_store::engine::{self, Batch, Engine, Item, Options};
use cherrypass_store::error::Error;
use cherrypass_store::format::{self, SegmentHead};
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
    let view = engine::read(&engine.view);
    let value = |entry: Entry| view.segment(entry.segment).unwrap().value(&entry).unwrap();
    view.index.after(&None).map(|(_, key, entry)| (key.to_vec(), value(entry))).collect()
}

/// Batches of two keys each, so that a batch that is half there shows.
fn batch(number: u8) -> Batch {
    let pair = Batch::new().put("s", [number % 8, 0], vec![number; 40]);
    pair.put("s", [number % 8, 1], vec![number; usize::from(number) % 30])
}

/// So many batches; the image after all, and the models after each.
fn written(batches: u8) -> (Image, Vec<Model>) {
    let disk = Disk::new(Image::default(), None);
    let mut engine = Engine::open(Arc::new(disk.clone()), options()).unwrap();
    let mut models = vec![model(&engine)];
    for number in 0..batches {
        engine.commit(UnixTime(1), &[Item::Batch(&batch(number))]).unwrap();
        models.push(model(&engine));
    }
    (disk.image(), models)
}

fn last_of(image: &Image) -> String {
    image.names().filter(|name| name.ends_with(".log")).last().unwrap().to_owned()
}

#[test]
fn every_file_cut_at_every_byte() {
    let (image, models) = written(23);
    let last = last_of(&image);
    assert!(image.names().count() > 4);
    for name in image.names() {
        let bytes = image.bytes(name).unwrap();
        for length in 0..bytes.len() {
            let cut = image.with(name, bytes[..length].to_vec());
            let found = open(&cut);
            if name != last {
                // Sealed: what is missing was acknowledged, and that is said with the place.
                let Err(Error::Damaged(damage)) = found else {
                    panic!("{name} cut at {length} is not noticed")
                };
                assert!(
                    damage.file == *name && damage.offset <= length as u64,
                    "{damage} ({name}, {length})"
                );
                continue;
            }
            let head = SegmentHead::decode(bytes).unwrap();
            let (mut at, mut whole) = (format::SEGMENT_HEAD, head.first.0 as usize - 1);
            while let Ok(frame) = format::frame(&bytes[at..length.max(at)], head.salt, at as u64) {
                (at, whole) = (at + frame.length(), whole + 1);
            }
            assert_eq!(model(&found.unwrap()), models[whole], "{name} cut at {length}");
        }
    }
}

#[test]
fn every_bit_of_sealed_data_counts() {
    let (image, _) = written(12);
    let last = last_of(&image);
    for name in image.names().filter(|name| **name != last) {
        let bytes = image.bytes(name).unwrap();
        for at in 0..bytes.len() {
            let mut spoilt = bytes.to_vec();
            spoilt[at] ^= 1 << (at % 8);
            let Err(error) = open(&image.with(name, spoilt)) else {
                panic!("{name} byte {at} is not noticed")
            };
            let told = match &error {
                Error::Damaged(damage) => damage.file == *name && damage.offset <= at as u64,
                other => matches!(other, Error::Version { .. }),
            };
            assert!(told, "{name} byte {at}: {error}");
        }
    }
}

#[test]
fn a_spoilt_batch_before_a_later_one_is_no_torn_tail() {
    let disk = Disk::new(Image::default(), None);
    let large = Options { segment_bytes: 1 << 20, ..options() };
    let mut engine = Engine::open(Arc::new(disk.clone()), large).unwrap();
    for number in 0..3 {
        engine.commit(UnixTime(1), &[Item::Batch(&batch(number))]).unwrap();
    }
    let name = last_of(&disk.image());
    let spoilt = |image: &Image, back: usize| {
        let mut bytes = image.bytes(&name).unwrap().to_vec();
        let at = bytes.len() - back;
        bytes[at] ^= 4;
        open(&image.with(&name, bytes))
    };
    // The last batch alone can't be told from a torn one while the run goes on; after its end it can.
    assert!(spoilt(&disk.image(), 150).is_err());
    assert_eq!(model(&spoilt(&disk.image(), 3).unwrap()).len(), 4);
    engine.close(UnixTime(1)).unwrap();
    assert!(matches!(spoilt(&disk.image(), format::FRAME_HEAD + 3), Err(Error::Damaged(_))));
}

#[test]
fn a_torn_record_followed_by_old_bytes_that_look_whole() {
    let (image, models) = written(3);
    let name = last_of(&image);
    let bytes = image.bytes(&name).unwrap().to_vec();
    let head = SegmentHead::decode(&bytes).unwrap();
    let at = format::SEGMENT_HEAD;
    let first = format::frame(&bytes[at..], head.salt, at as u64).unwrap().length();
    // The same batch again where the next would stand, after half a batch or at once.
    for gap in [0, 17] {
        let mut longer = bytes.clone();
        longer.extend(vec![0xff; gap]);
        longer.extend_from_slice(&bytes[at..at + first]);
        assert_eq!(model(&open(&image.with(&name, longer)).unwrap()), models[3]);
    }
}

#[test]
fn a_missing_segment_is_damage() {
    let (image, _) = written(23);
    let last = last_of(&image);
    for name in image.names().filter(|name| **name != last) {
        let Err(Error::Damaged(damage)) = open(&image.without(name)) else { panic!("{name} is not missed") };
        assert!(damage.what.contains("missing") && damage.file == *name, "{damage}");
    }
}

#[test_case(true; "newer than the log")]
#[test_case(false; "older than the log")]
fn a_checkpoint_of_another_time(newer: bool) {
    let disk = Disk::new(Image::default(), None);
    let mut engine = Engine::open(Arc::new(disk.clone()), options()).unwrap();
    let mut checkpoints = Vec::new();
    for number in 0..16 {
        engine.commit(UnixTime(1), &[Item::Batch(&batch(number))]).unwrap();
        let mut writer =
            cherrypass_store::checkpoint::Writer::begin(engine.disk.clone(), engine.position()).unwrap();
        while writer.step(&engine.view, 1).unwrap().1 {}
        writer.finish(engine.position()).unwrap();
        checkpoints.push(disk.image());
    }
    let logs =
        |image: &Image| image.names().filter(|n| n.ends_with(".log")).map(str::to_owned).collect::<Vec<_>>();
    let (first, last) = (&checkpoints[2], &checkpoints[15]);
    let (of, log) = if newer { (last, first) } else { (first, last) };
    let known = of.names().find(|name| name.ends_with(".checkpoint")).unwrap();
    let mut mixed = Image::default().with(known, of.bytes(known).unwrap().to_vec());
    for name in logs(log) {
        mixed = mixed.with(&name, log.bytes(&name).unwrap().to_vec());
    }
    match open(&mixed) {
        Ok(found) if !newer => assert_eq!(model(&found), model(&engine)),
        Err(Error::Damaged(damage)) if newer => {
            assert!(damage.what.contains("checkpoint") || damage.what.contains("missing"), "{damage}")
        }
        other => panic!("{:?}", other.map(|_| ()).map_err(|error| error.to_string())),
    }
}

#[test]
fn a_repair_keeps_what_is_whole_and_tells_the_rest() {
    let (image, _) = written(12);
    let name = image.names().next().unwrap().to_owned();
    let mut bytes = image.bytes(&name).unwrap().to_vec();
    bytes[format::SEGMENT_HEAD + 60] ^= 1;
    let disk = Disk::new(image.with(&name, bytes), None);
    let mut batches = 0;
    let found = repair::salvage(&disk, |_| {
        batches += 1;
        Ok(())
    });
    let found = found.unwrap();
    assert_eq!((batches, found.lost.len()), (11, 1));
    assert!(found.lost[0].file == name && found.lost[0].offset == format::SEGMENT_HEAD as u64);
    assert!(disk.names().unwrap().len() == image.names().count());
}

#[test]
fn an_export_is_whole_or_refused() {
    let (image, models) = written(20);
    let engine = open(&image).unwrap();
    let mut bytes = Vec::new();
    export::export(&engine::read(&engine.view), UnixTime(5), 99, &mut bytes).unwrap();
    for length in 0..bytes.len() {
        assert!(export::import("x", &bytes[..length]).is_err(), "cut at {length}");
    }
    assert_eq!(export::count(&export::import("x", &bytes).unwrap()), models[20].len());
    // It is a store as it stands.
    let restored = open(&Image::default().with("0000000001.log", bytes)).unwrap();
    assert_eq!(model(&restored), models[20]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Default::default() })]
    #[test]
    fn no_bytes_stop_the_program(bytes in proptest::collection::vec(any::<u8>(), 0..300), behind in any::<bool>()) {
        let (image, _) = written(2);
        let name = last_of(&image);
        let mut text = if behind { image.bytes(&name).unwrap().to_vec() } else { Vec::new() };
        text.extend_from_slice(&bytes);
        let spoilt = image.with(&name, text.clone());
        let _ = open(&spoilt).map(|engine| model(&engine));
        let _ = export::import("x", &text);
        let _ = disk::read_range(&*Disk::new(spoilt, None).open(&name).unwrap(), 3, 9);
    }
}
