//! A short soak with the program that stands beside the tests: seeded scenarios with steps of the clock, failing calls, frozen
//! hosts, a silent change log and signals. The long one is played by hand (docs/faultbed.md).
use cherrypass_faultbed::notation::read;
use cherrypass_faultbed::play::{play, Stage};
use cherrypass_faultbed::{judge, soak};
use test_case::test_case;

#[test_case(2..=3; "first")]
#[test_case(4..=5; "second")]
fn seeds_hold(seeds: std::ops::RangeInclusive<u64>) {
    let own = std::env::current_exe().unwrap();
    let program = own.parent().unwrap().parent().unwrap().join("cherrypass");
    assert!(program.exists(), "{} is not built: cargo build first", program.display());
    for seed in seeds {
        let scenario = read(&soak::scenario(seed)).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let stage = Stage { program: &program, other: None, folder: folder.path(), seed };
        let played = play(&scenario, stage).unwrap();
        let broken = judge::judge(&scenario, &played);
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}\n{:#?}", judge::figures(&played));
    }
}

#[test]
fn every_seed_is_a_scenario_and_a_fault_can_be_left_out() {
    for seed in 0..500 {
        let text = soak::scenario(seed);
        let scenario = read(&text).unwrap_or_else(|error| panic!("seed {seed}: {error}\n{text}"));
        assert_eq!(text, soak::scenario(seed));
        for fault in 0..scenario.faults.len() {
            let fewer = read(&soak::without(&text, fault).unwrap()).unwrap();
            assert_eq!(fewer.faults.len() + 1, scenario.faults.len());
        }
        assert!(soak::without(&text, scenario.faults.len()).is_none());
    }
}
