//! A short run of the soak test. Longer ones are started manually.

use std::time::Duration;

use lagoonproxy_standin::packet_soak::SoakSettings;
use lagoonproxy_standin::packet_soak::run_soak;

use crate::program;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_soak_keeps_the_promises() {
    for seed in [1, 2] {
        let settings = SoakSettings {
            seed,
            faults: Duration::from_secs(8),
        };
        let report = run_soak(program(), settings).await;
        assert!(
            report.broken.is_empty(),
            "seed {seed}: {:#?} {:#?}",
            report.broken,
            report.evidence
        );
        assert!(
            report.answered > 100,
            "seed {seed}: {} answers",
            report.answered
        );
    }
}
