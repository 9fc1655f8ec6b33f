//! Tests of the policy file: the output and the exit code of `lagoon-packet`.

use std::path::Path;
use std::path::PathBuf;
use std::process::Output;

use tokio::process::Command;

use crate::program;

const SETTINGS_INVALID: i32 = 100;

/// Valid settings. No test starts a host with them.
const SETTINGS: &str = r#"{"NodeName":"entry-1","IP":"127.0.0.1","Ip":"127.0.0.1","Zone":"a","Listen":{"DatagramAddr":"127.0.0.1:1","Ready":"127.0.0.1:2"},"InternalPorts":[3,4],"Bounds":{"GraceS":6,"FlowTimeoutS":60},"platform":{"Address":"127.0.0.1:5"}}"#;

/// Writes a file with this name to the temporary directory. Returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

fn example_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/lagoon-packet.yaml")
}

async fn run(args: &[&str], settings: &Path, policy: Option<&Path>) -> Output {
    let mut command = Command::new(program());
    command.args(args).arg("--settings").arg(settings);
    if let Some(policy) = policy {
        command.arg("--policy").arg(policy);
    }
    command.output().await.expect("the program runs")
}

#[tokio::test]
async fn test_example_equals_the_defaults() {
    // Guards against an example that is rejected, or whose values differ from the defaults.
    let settings = write_file("policy-example.json", SETTINGS);
    let without = run(&["--check"], &settings, None).await;
    let with = run(&["--check"], &settings, Some(&example_path())).await;
    assert!(without.status.success(), "{without:?}");
    assert!(with.status.success(), "{with:?}");
    let shown = String::from_utf8(without.stdout.clone()).expect("text");
    assert!(shown.contains("is_enabled: true"), "{shown}");
    assert_eq!(with.stdout, without.stdout);
}

#[tokio::test]
async fn test_policy_that_switches_overload_off_is_read() {
    let settings = write_file("policy-off.json", SETTINGS);
    let policy = write_file("policy-off.yaml", "overload:\n  enabled: false\n");
    let output = run(&["--check"], &settings, Some(&policy)).await;
    assert!(output.status.success(), "{output:?}");
    let shown = String::from_utf8(output.stdout).expect("text");
    assert!(shown.contains("is_enabled: false"), "{shown}");
}

#[tokio::test]
async fn test_policy_faults_are_reported_with_their_lines() {
    // Guards against a host that starts although a part of its policy file is invalid and not
    // applied.
    struct Case {
        name: &'static str,
        text: &'static str,
        /// The expected parts of the output line of each fault.
        faults: &'static [&'static [&'static str]],
    }
    let cases = [
        Case {
            name: "unknown fields and a wrong type",
            text: "overlod: 1\noverload:\n  enabled: maybe\n  least: 0.1\n",
            faults: &[
                &["line 1: overlod: no such field; there are overload"],
                &["line 3: overload.enabled: ", "expected a boolean"],
                &[
                    "line 4: overload.least: no such field; there are dispatch, enabled, spill_margin",
                ],
            ],
        },
        Case {
            name: "section is not a mapping",
            text: "# switched off\noverload: false\n",
            faults: &[&["line 2: overload: expected a section"]],
        },
        Case {
            name: "margin out of range",
            text: "overload:\n  spill_margin: 99\n",
            faults: &[&["line 2: overload.spill_margin: must be from 100 to 100000"]],
        },
        Case {
            name: "duplicate field",
            text: "overload:\n  enabled: true\n  enabled: false\n",
            faults: &[&["duplicate"]],
        },
        Case {
            name: "invalid YAML",
            text: "overload:\n enabled: [\n",
            faults: &[&["line 3: "]],
        },
        Case {
            name: "empty file",
            text: "",
            faults: &[&["expected `field: value` lines"]],
        },
    ];
    let settings = write_file("policy-faults.json", SETTINGS);
    for case in cases {
        let policy = write_file("policy-faults.yaml", case.text);
        for (args, is_check) in [(&["--check"][..], true), (&[], false)] {
            let output = run(args, &settings, Some(&policy)).await;
            let code = output.status.code();
            assert_eq!(code, Some(SETTINGS_INVALID), "{}: {output:?}", case.name);
            let shown = match is_check {
                true => output.stderr,
                false => output.stdout,
            };
            let shown = String::from_utf8(shown).expect("text");
            let lines: Vec<&str> = shown.lines().collect();
            assert_eq!(lines.len(), case.faults.len(), "{}: {shown}", case.name);
            for (line, parts) in lines.iter().zip(case.faults) {
                let holds_all = parts.iter().all(|part| line.contains(part));
                assert!(holds_all, "{}: {line}", case.name);
            }
        }
    }
}

#[tokio::test]
async fn test_missing_policy_file_is_rejected() {
    // Guards against a host that uses the default policy because the path is misspelled.
    let settings = write_file("policy-missing.json", SETTINGS);
    for args in [&["--check"][..], &[]] {
        let output = run(args, &settings, Some(Path::new("/nowhere.yaml"))).await;
        let code = output.status.code();
        assert_eq!(code, Some(SETTINGS_INVALID), "{output:?}");
    }
}
