//! Files that can't be read or used: exit code 2, and one line that says where the problem is and what to do.
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use tempfile::TempDir;
use test_case::test_case;

const VALID: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"00f1","changelog":"127.0.0.1:1",
 "limits":{"memory_mb":64,"sockets":256},
 "known":{"seq":1,"results":[{"seq":1,"fleet":{"full":true,"servers":[
  {"id":"s-a","addr":"127.0.0.1:2","zone":"edge","kind":"small","state":"in_service"}]}}]},
 "settings":{"balancers":1,"me":0,"zone":0,"zones":["edge"],"models":["small"],
  "services":[{"name":"video","aim":500000,"deadline":6000000,"effect":"idempotent"}],
  "bounds":{"connect_timeout":1,"conn_idle":1,"streams_per_conn":1},
  "rules":{"cold_from":0.2,"overload_factor":2.0},"domain":{"may_pass_by":true,"source_kind":0}}}"#;

struct Files(TempDir);

impl Files {
    fn new() -> Files {
        Files(tempfile::tempdir().unwrap())
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        std::fs::write(self.path(name), text).unwrap();
        self.path(name)
    }
}

/// Runs a command, checks its exit code, and returns the only error line.
fn error_line(command: &str, code: i32, config: &Path, operator: Option<&Path>) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_cherrypass"));
    program.arg(command).arg("--config").arg(config).stdin(Stdio::null());
    program.args(operator.iter().flat_map(|path| [Path::new("--operator"), path]));
    let output = program.output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{stderr}");
    let lines: Vec<&str> = stderr.lines().filter(|line| line.starts_with("cherrypass: ")).collect();
    assert_eq!(lines.len(), 1, "{stderr}");
    lines[0].to_owned()
}

/// Checks that a line contains all of these texts.
fn assert_contains(line: &str, texts: &[&str]) {
    texts.iter().for_each(|text| assert!(line.contains(text), "'{text}' in {line}"));
}

#[test_case("serve"; "serve")]
#[test_case("check"; "check")]
fn a_missing_configuration(command: &str) {
    let files = Files::new();
    let path = files.path("none.json");
    let line = error_line(command, 2, &path, None);
    assert_contains(
        &line,
        &[path.to_str().unwrap(), "cannot read the configuration", "name a file that exists and is readable"],
    );
}

#[test_case("serve"; "serve")]
#[test_case("check"; "check")]
fn a_folder_as_configuration(command: &str) {
    let files = Files::new();
    let line = error_line(command, 2, files.0.path(), None);
    assert_contains(
        &line,
        &[
            files.0.path().to_str().unwrap(),
            "cannot read the configuration",
            "name a file that exists and is readable",
        ],
    );
}

#[test_case("serve"; "serve")]
#[test_case("check"; "check")]
fn a_missing_operators_file(command: &str) {
    let files = Files::new();
    let (config, path) = (files.write("c.json", VALID), files.path("none.jsonnet"));
    let line = error_line(command, 2, &config, Some(&path));
    assert_contains(
        &line,
        &[
            path.to_str().unwrap(),
            "cannot read the operators' file",
            "name a file that exists and is readable, or none",
        ],
    );
}

#[test_case(|_| String::new(), &["line 1 column 0", "the file is empty or truncated"]; "empty")]
#[test_case(|valid| valid[..valid.len() - 2].to_owned(), &["line 8 column", "the file is empty or truncated"]; "truncated")]
#[test_case(|valid| valid.replacen("\"limits\":", "limits:", 1), &["line 2 column 2", "correct the syntax there"]; "not JSON")]
#[test_case(|_| "[".repeat(200_000), &["more than 16 levels deep"]; "too deep")]
#[test_case(|_| "[1]".to_owned(), &["the configuration is missing settings; add this key"]; "a list instead of an object")]
#[test_case(|valid| valid.replacen("\"name\":\"n0\",", "", 1), &["the configuration is missing name; add this key"]; "no name")]
#[test_case(|valid| valid.replacen("\"n0\"", "7", 1), &["invalid name: 7", "must be a string"]; "a name that is not a string")]
#[test_case(|valid| valid.replacen("64", "\"64\"", 1), &["invalid limits/memory_mb: \"64\"", "must be a number"]; "memory as a string")]
#[test_case(|valid| valid.replacen("64", "-64", 1), &["invalid limits/memory_mb: -64", "must be a number, 1 at least"]; "negative memory")]
#[test_case(|valid| valid.replacen("256", "15", 1), &["invalid limits/sockets: 15", "a number, 16 at least"]; "too few descriptors")]
#[test_case(|valid| valid.replacen("127.0.0.1:1", "discovery", 1), &["invalid changelog: \"discovery\"", "an address and a port, as in"]; "an invalid address")]
#[test_case(|valid| valid.replacen("00f1", "x", 1), &["invalid seed: \"x\"", "hex digits"]; "an invalid seed")]
#[test_case(|valid| valid.replacen("\"aim\":500000,", "", 1), &["the settings are missing the number /services/0/aim; add it"]; "no aim")]
#[test_case(|valid| valid.replacen("\"deadline\":6000000,", "", 1), &["is missing settings/services/0/deadline; add this key"]; "no deadline")]
#[test_case(|valid| valid.replacen("\"name\":\"video\",", "", 1), &["is missing settings/services/0/name; add this key"]; "a class without a name")]
#[test_case(|valid| valid.replacen("idempotent", "often", 1), &["settings/services/0/effect must be one of idempotent"]; "an unknown effect")]
#[test_case(|valid| valid.replacen(",\"effect\":\"idempotent\"", "", 1), &["/services/0/effect", "idempotent, deduplicated or at_most_once; add it"]; "no effect")]
#[test_case(|valid| valid.replacen("\"cold_from\":0.2", "\"cold_from\":2", 1), &["settings/rules/cold_from is out of range: 2; it must be from 0 to 1"]; "a share out of range")]
#[test_case(|valid| valid.replacen("\"connect_timeout\":1", "\"connect_timeout\":-1", 1), &["settings/bounds/connect_timeout is out of range: -1; it must be at least 0"]; "a negative duration")]
fn an_unusable_configuration(corrupt: fn(&str) -> String, words: &[&str]) {
    let files = Files::new();
    let path = files.write("c.json", &corrupt(VALID));
    assert_ne!(corrupt(VALID), VALID, "nothing was changed");
    for command in ["serve", "check"] {
        let line = error_line(command, 2, &path, None);
        assert_contains(&line, words);
        assert_contains(&line, &[path.to_str().unwrap()]);
    }
}

/// With an unusable host list a dispatcher still starts and asks the change log; `check` reports the problem.
#[test_case("\"in_service\"", "\"odd\"", "change 1: invalid state (servers/0)"; "an invalid state")]
#[test_case("127.0.0.1:2", "host", "change 1: invalid addr (servers/0)"; "an invalid address")]
#[test_case("\"id\":\"s-a\",", "", "change 1: invalid id (servers/0)"; "no id")]
#[test_case("\"edge\",\"kind\"", "\"north\",\"kind\"", "change 1: invalid zone (servers/0)"; "an unknown zone")]
#[test_case("\"kind\":\"small\"", "\"kind\":7", "change 1: invalid kind (servers/0)"; "a kind that is not a string")]
#[test_case("[{\"seq\":1", "[{\"seq\":4", "change 4 follows change 0, changes between them are missing"; "missing changes")]
#[test_case("\"results\"", "\"result\"", "known changes: not JSON"; "no results")]
fn an_unusable_host_list(part: &str, replacement: &str, words: &str) {
    let files = Files::new();
    let text = VALID.replacen(part, replacement, 1);
    assert_ne!(text, VALID, "nothing was changed");
    assert_contains(
        &error_line("check", 2, &files.write("c.json", &text), None),
        &["the configuration has invalid known changes: ", words, "check the program that writes them"],
    );
}

#[test]
fn a_valid_configuration_passes_the_check() {
    let files = Files::new();
    let mut program = Command::new(env!("CARGO_BIN_EXE_cherrypass"));
    let output = program.arg("check").arg("--config").arg(files.write("c.json", VALID)).output().unwrap();
    assert!(output.status.success() && output.stderr.is_empty(), "{output:?}");
}
