//! Checks that the documentation pages name only tests that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const CRATES: [&str; 8] = [
    "lib", "packet", "platform", "packetd", "daemon", "cli", "standin", "bench",
];

/// Returns every word of `text` that has the form of a test name.
fn test_names(text: &str) -> BTreeSet<&str> {
    let words = text.split(|letter: char| !letter.is_alphanumeric() && letter != '_');
    words.filter(|word| word.starts_with("test_")).collect()
}

fn test_sources(root: &Path) -> String {
    let mut sources = String::new();
    for name in CRATES {
        let Ok(entries) = fs::read_dir(root.join(name).join("tests")) else {
            continue;
        };
        for entry in entries {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "rs") {
                sources.push_str(&fs::read_to_string(path).unwrap());
            }
        }
    }
    sources
}

#[test]
fn test_invariants_page_names_tests_that_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let sources = test_sources(&root);
    for page in [
        "docs/INVARIANTS.md",
        "docs/design/at-most-once.md",
        "docs/design/packet-path.md",
        "docs/technical/packets.md",
    ] {
        let text = fs::read_to_string(root.join(page)).unwrap();
        for name in test_names(&text) {
            if name == "test_invariants" {
                continue;
            }
            assert!(sources.contains(&format!("fn {name}(")), "{page}: {name}");
        }
    }
}
