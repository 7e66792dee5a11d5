//! Plays the scenarios in `tests/sockets/` over loopback with real dispatchers and simulated hosts, change
//! logs and clients. The notation is described in `sockets_bed/notation.rs`.
mod sockets_bed;

use sockets_bed::change_log::ChangeLog;
use sockets_bed::dispatchers::{config, spawn_dispatcher};
use sockets_bed::notation::{commands, expand};
use sockets_bed::scenario::Scenario;
use std::net::TcpListener;
use test_case::test_case;

#[test_case(include_str!("sockets/outcomes.txt"); "outcomes")]
#[test_case(include_str!("sockets/host_lost.txt"); "host_lost")]
#[test_case(include_str!("sockets/client_leaves.txt"); "client_leaves")]
#[test_case(include_str!("sockets/client_returns.txt"); "client_returns")]
#[test_case(include_str!("sockets/copies.txt"); "copies")]
#[test_case(include_str!("sockets/list.txt"); "list")]
#[test_case(include_str!("sockets/late_connect_host_drains.txt"); "late_connect_host_drains")]
#[test_case(include_str!("sockets/other_deployment.txt"); "other_deployment")]
#[test_case(include_str!("sockets/two_dispatchers.txt"); "two_dispatchers")]
#[test_case(include_str!("sockets/many_hosts.txt"); "many_hosts")]
#[test_case(include_str!("sockets/stop.txt"); "stop")]
#[test_case(include_str!("sockets/start.txt"); "start")]
#[test_case(include_str!("sockets/descriptors.txt"); "descriptors")]
#[test_case(include_str!("sockets/change_log_unanswered.txt"); "change_log_unanswered")]
#[test_case(include_str!("sockets/slow_reader.txt"); "slow_reader")]
#[test_case(include_str!("sockets/bad_client.txt"); "bad_client")]
#[test_case(include_str!("sockets/bad_host.txt"); "bad_host")]
#[test_case(include_str!("sockets/bad_change_log_answers.txt"); "bad_change_log_answers")]
#[test_case(include_str!("sockets/reload.txt"); "reload")]
#[test_case(include_str!("sockets/churn.txt"); "churn")]
#[test_case(include_str!("sockets/idle_connections.txt"); "idle_connections")]
#[test_case(include_str!("sockets/stored_purges.txt"); "stored_purges")]
#[test_case(include_str!("sockets/stored_visits.txt"); "stored_visits")]
#[test_case(include_str!("sockets/stored_configurations.txt"); "stored_configurations")]
#[test_case(include_str!("sockets/store_damaged.txt"); "store_damaged")]
#[test_case(include_str!("sockets/misbehaving_clients.txt"); "misbehaving_clients")]
#[test_case(include_str!("sockets/close_idle_with_request.txt"); "close_idle_with_request")]
#[test_case(include_str!("sockets/close_incomplete_message.txt"); "close_incomplete_message")]
#[test_case(include_str!("sockets/close_idle.txt"); "close_idle")]
#[test_case(include_str!("sockets/close_no_room.txt"); "close_no_room")]
#[test_case(include_str!("sockets/close_unread.txt"); "close_unread")]
#[test_case(include_str!("sockets/close_violation.txt"); "close_violation")]
#[test_case(include_str!("sockets/descriptors_many_clients.txt"); "descriptors_many_clients")]
#[test_case(include_str!("sockets/descriptors_connecting.txt"); "descriptors_connecting")]
#[test_case(include_str!("sockets/descriptors_without_change_log.txt"); "descriptors_without_change_log")]
#[test_case(include_str!("sockets/client_leaves_cancelled.txt"); "client_leaves_cancelled")]
#[test_case(include_str!("sockets/client_leaves_during_fill.txt"); "client_leaves_during_fill")]
#[test_case(include_str!("sockets/client_leaves_before_connect.txt"); "client_leaves_before_connect")]
#[test_case(include_str!("sockets/client_leaves_host_lost.txt"); "client_leaves_host_lost")]
#[test_case(include_str!("sockets/client_leaves_during_record.txt"); "client_leaves_during_record")]
#[test_case(include_str!("sockets/client_leaves_before_retry.txt"); "client_leaves_before_retry")]
#[test_case(include_str!("sockets/client_leaves_slow_host.txt"); "client_leaves_slow_host")]
#[test_case(include_str!("sockets/client_leaves_before_hand_off.txt"); "client_leaves_before_hand_off")]
#[test_case(include_str!("sockets/client_leaves_behind_bodies.txt"); "client_leaves_behind_bodies")]
#[test_case(include_str!("sockets/client_bodies.txt"); "client_bodies")]
#[test_case(include_str!("sockets/host_restarts.txt"); "host_restarts")]
#[test_case(include_str!("sockets/host_duplicate_answer.txt"); "host_duplicate_answer")]
#[test_case(include_str!("sockets/host_answers_when_removed.txt"); "host_answers_when_removed")]
#[test_case(include_str!("sockets/host_incomplete_answer.txt"); "host_incomplete_answer")]
#[test_case(include_str!("sockets/late_connect_time_left.txt"); "late_connect_time_left")]
#[test_case(include_str!("sockets/late_connect_lost.txt"); "late_connect_lost")]
#[test_case(include_str!("sockets/late_connect_purge.txt"); "late_connect_purge")]
#[test_case(include_str!("sockets/late_connect_source_drains.txt"); "late_connect_source_drains")]
#[test_case(include_str!("sockets/late_connect_repeat_window.txt"); "late_connect_repeat_window")]
#[test_case(include_str!("sockets/stop_repeated_signals.txt"); "stop_repeated_signals")]
#[test_case(include_str!("sockets/stop_open_requests.txt"); "stop_open_requests")]
#[test_case(include_str!("sockets/stop_requests_at_last_read.txt"); "stop_requests_at_last_read")]
#[test_case(include_str!("sockets/stop_idle_clients.txt"); "stop_idle_clients")]
#[test_case(include_str!("sockets/client_leaves_during_connect.txt"); "client_leaves_during_connect")]
#[test_case(include_str!("sockets/host_closes.txt"); "host_closes")]
#[test_case(include_str!("sockets/host_duplicate_answer_late.txt"); "host_duplicate_answer_late")]
#[test_case(include_str!("sockets/late_connect_deadline.txt"); "late_connect_deadline")]
#[test_case(include_str!("sockets/late_connect_other_host.txt"); "late_connect_other_host")]
#[test_case(include_str!("sockets/late_connect_group_purge.txt"); "late_connect_group_purge")]
#[test_case(include_str!("sockets/stop_flood.txt"); "stop_flood")]
#[test_case(include_str!("sockets/stop_during_start.txt"); "stop_during_start")]
#[test_case(include_str!("sockets/stop_pending_record.txt"); "stop_pending_record")]
#[test_case(include_str!("sockets/stop_without_hosts.txt"); "stop_without_hosts")]
#[test_case(include_str!("sockets/pipeline.txt"); "pipeline")]
#[test_case(include_str!("sockets/copies_earlier_answer.txt"); "copies_earlier_answer")]
#[test_case(include_str!("sockets/host_resets_late.txt"); "host_resets_late")]
#[test_case(include_str!("sockets/largest_objects.txt"); "largest_objects")]
#[test_case(include_str!("sockets/largest_objects_host_lost.txt"); "largest_objects_host_lost")]
#[test_case(include_str!("sockets/close_for_new_client.txt"); "close_for_new_client")]
#[test_case(include_str!("sockets/late_connect_source_removed.txt"); "late_connect_source_removed")]
#[test_case(include_str!("sockets/address_taken.txt"); "address_taken")]
#[test_case(include_str!("sockets/late_connect_address_taken.txt"); "late_connect_address_taken")]
#[test_case(include_str!("sockets/bad_entries.txt"); "bad_entries")]
#[test_case(include_str!("sockets/late_connect_source_restarts.txt"); "late_connect_source_restarts")]
#[test_case(include_str!("sockets/known_change_repeated.txt"); "known_change_repeated")]
#[test_case(include_str!("sockets/purge_suspended_host.txt"); "purge_suspended_host")]
#[test_case(include_str!("sockets/clock_forward.txt"); "clock_forward")]
#[test_case(include_str!("sockets/clock_back.txt"); "clock_back")]
#[test_case(include_str!("sockets/clock_start.txt"); "clock_start")]
#[test_case(include_str!("sockets/change_log_silent.txt"); "change_log_silent")]
#[test_case(include_str!("sockets/change_log_breaks_off.txt"); "change_log_breaks_off")]
#[test_case(include_str!("sockets/accept_aborted.txt"); "accept_aborted")]
#[test_case(include_str!("sockets/suspended_slow_writer.txt"); "suspended_slow_writer")]
#[test_case(include_str!("sockets/suspended_store.txt"); "suspended_store")]
#[test_case(include_str!("sockets/store_disk_full.txt"); "store_disk_full")]
#[test_case(include_str!("sockets/stored_visits_clock_back.txt"); "stored_visits_clock_back")]
fn plays(text: &str) {
    let mut scenario = Scenario::default();
    for (line, command) in commands(text) {
        println!("line {line}: {command}");
        for command in expand(command) {
            scenario.run_command(&command.split_whitespace().collect::<Vec<_>>());
        }
    }
}

#[test_case("\"limits\"", "\"limit\"", 2, "the configuration is missing limits/memory_mb"; "missing key")]
#[test_case("\"settings\"", "\"set\"", 2, "the configuration is missing settings"; "missing settings")]
#[test_case("\"zone\":", "\"zon\":", 2, "the settings are missing the number /zone"; "missing key of the settings")]
#[test_case("\"cold_from\"", "\"cold\"", 2, "the settings are missing the number /rules/cold_from"; "missing number of the rules")]
#[test_case("\"may_pass_by\": true", "\"may_pass_by\": 1", 2, "settings/domain/may_pass_by must be true"; "wrong type")]
#[test_case("\"cold_from\": 0.2", "\"cold_from\": 2", 2, "settings/rules/cold_from is out of range"; "share out of range")]
#[test_case("\"domain\": {", "\"domain\": {\"detail\": \"some\",", 2, "settings/domain/detail must be one of"; "unknown value of an enumeration")]
#[test_case("[0, 0, 0, 0]", "[0, 0]", 2, "settings/domain/class_fresh has 2 entries, settings/services has 4"; "list with the wrong number of classes")]
#[test_case("[0, 2]", "[0, 2, 1]", 2, "settings/domain/count_by_zone has 3 entries"; "list with the wrong number of locations")]
#[test_case("[0, 2]", "[0, 2], \"stale_for\": [0, 9, 0, 0]", 2, "settings/domain/stale_for/1 requires settings/domain/class_fresh"; "stale time without a fresh time")]
#[test_case("\"pace_kb_per_s\": 5000", "\"zone_link_kb_per_s\": [0, 9]", 2, "settings/domain/pace_kb_per_s is required"; "zone links without a transfer rate")]
#[test_case("\"parent_kind\": 1", "\"parent_kind\": 2", 2, "settings/domain/parent_kind is the same as"; "same kind for parents and origin")]
#[test_case("00f1", "seed", 2, "invalid seed"; "invalid seed")]
#[test_case("{\"name\"", "name", 2, "is not valid JSON"; "not JSON")]
#[test_case("127.0.0.1:0", "TAKEN", 1, "can't serve on"; "address in use")]
fn an_unusable_configuration_ends_the_start(part: &str, replacement: &str, code: i32, words: &str) {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let replacement = replacement.replace("TAKEN", &taken.local_addr().unwrap().to_string());
    let text = config("127.0.0.1:0", &ChangeLog::start(), "null", 192).replacen(part, &replacement, 1);
    assert!(text.contains(&replacement), "nothing was replaced");
    let (child, _file) = spawn_dispatcher(&text, 256, "", None);
    let output = child.wait_with_output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(code), "{stderr}");
    let lines: Vec<&str> = stderr.lines().filter(|line| line.starts_with("cherrypass:")).collect();
    assert!(lines.len() == 1 && lines[0].contains(words), "{stderr}");
}
