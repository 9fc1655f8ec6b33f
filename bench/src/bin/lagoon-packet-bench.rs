//! Measures the cost of decisions on the packet path; with `--check`, fails if the relay is too
//! slow.

use std::error::Error;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::process::ExitCode;

use argh::FromArgs;
use lagoonproxy_bench::packet_cost::PacketBench;
use lagoonproxy_bench::packet_cost::SelectionBench;
use lagoonproxy_bench::packet_cost::relay_round;

/// Open flows of a host of the target size.
const FLOWS: u32 = 20_000;

/// Upstreams of a zone: of current users, of users after growth, and of the target size.
const UPSTREAMS: [u32; 3] = [14, 120, 5_000];

/// Packets per measurement.
const PACKETS: u32 = 400_000;

/// Rounds of selections, of which the fastest is reported.
const SELECT_ROUNDS: u32 = 40;

/// Windows of datagrams per round of relaying, and the number of rounds.
const WINDOWS: u32 = 400;
const ROUNDS: usize = 15;

/// Minimum ratio of the relay's rate to that of a bare relay that `--check` accepts. The target is
/// 0.8; medians on a shared machine range from 0.73 to 0.81.
const MIN_RATIO: f64 = 0.5;

/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// Measure the cost of decisions on the packet path.
#[derive(FromArgs)]
struct Arguments {
    /// fail if the relay is slower than its bound
    #[argh(switch)]
    check: bool,
}

/// Returns the resident memory of this process in bytes, 0 if the system does not report it.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let target = UdpSocket::bind("127.0.0.1:0")?;
    let SocketAddr::V4(address) = target.local_addr()? else {
        return Err("the loopback socket has no IPv4 address".into());
    };
    let mut bench = PacketBench::new(UPSTREAMS[0], address);
    let before = resident_bytes();
    bench.open(FLOWS);
    let grown = resident_bytes().saturating_sub(before);
    println!("memory of {FLOWS} open flows: {} KB", grown / 1024);
    let known = bench.known_packet(FLOWS, PACKETS);
    println!(
        "packet on an open flow, {FLOWS} flows: {} ns",
        known.as_nanos()
    );
    for upstreams in UPSTREAMS {
        let mut bench = PacketBench::new(upstreams, address);
        bench.open(FLOWS);
        let placed = bench.new_flow(FLOWS, FLOWS);
        println!("new flow, {upstreams} upstreams: {} ns", placed.as_nanos());
    }
    for upstreams in UPSTREAMS {
        let [uncontended, contended] = [false, true].map(|is_contended| {
            SelectionBench::new(upstreams, is_contended)
                .select(SELECT_ROUNDS, PACKETS / SELECT_ROUNDS)
        });
        println!(
            "selection, {upstreams} upstreams: {} ns, while contended {} ns",
            uncontended.as_nanos(),
            contended.as_nanos()
        );
    }
    let mut ratios = Vec::new();
    for _round in 0..ROUNDS {
        let rates = relay_round(&mut bench, FLOWS, WINDOWS, &target)?;
        ratios.push(rates.decided / rates.bare);
    }
    ratios.sort_by(f64::total_cmp);
    let median = ratios[ROUNDS / 2];
    println!(
        "relay against a bare one: median {median:.2}, from {:.2} to {:.2}",
        ratios[0],
        ratios[ROUNDS - 1]
    );
    let passed = !arguments.check || median >= MIN_RATIO;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
