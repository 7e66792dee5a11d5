//! A short soak with the built program: seeded scenarios with clock steps, failing system calls, frozen
//! hosts, a change log without answers, and signals. Long soaks are run by hand (docs/faultbed.md).
use cherrypass_faultbed::notation::{parse, Fault};
use cherrypass_faultbed::play::{play, Setup};
use cherrypass_faultbed::{judge, soak, stop_draw};
use test_case::test_case;

#[test_case(2..=3; "first")]
#[test_case(4..=5; "second")]
fn seeds_hold(seeds: std::ops::RangeInclusive<u64>) {
    let own = std::env::current_exe().unwrap();
    let program = own.parent().unwrap().parent().unwrap().join("cherrypass");
    assert!(program.exists(), "{} is not built: cargo build first", program.display());
    for seed in seeds {
        let scenario = parse(&soak::scenario(seed)).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let setup = Setup { program: &program, older_program: None, folder: folder.path(), seed };
        let played = play(&scenario, setup).unwrap();
        let violations = judge::judge(&scenario, &played);
        if !violations.is_empty() {
            let logs = folder.keep();
            let figures = judge::figures(&played);
            panic!("seed {seed}, its logs are in {}: {violations:#?}\n{figures:#?}", logs.display());
        }
    }
}

#[test]
fn every_seed_yields_a_scenario_from_which_a_fault_can_be_removed() {
    for seed in 0..500 {
        let text = soak::scenario(seed);
        let scenario = parse(&text).unwrap_or_else(|error| panic!("seed {seed}: {error}\n{text}"));
        assert_eq!(text, soak::scenario(seed));
        for fault in 0..scenario.faults.len() {
            let reduced = parse(&soak::without_fault(&text, fault).unwrap()).unwrap();
            assert_eq!(reduced.faults.len() + 1, scenario.faults.len());
        }
        assert!(soak::without_fault(&text, scenario.faults.len()).is_none());
    }
}

#[test]
fn every_seed_yields_a_scenario_of_stops() {
    for seed in 0..500 {
        let text = stop_draw::scenario(seed);
        let scenario = parse(&text).unwrap_or_else(|error| panic!("seed {seed}: {error}\n{text}"));
        assert_eq!(text, stop_draw::scenario(seed));
        let lengths = scenario.faults.iter().filter(|planned| matches!(planned.fault, Fault::Stop(_)));
        assert!(lengths.map(|planned| planned.duration.unwrap()).all(|lasts| (0.2..=2.2).contains(&lasts)));
    }
}
