//! An entry host with its two daemons as child processes. Signals go only to these processes.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lagoonproxy::host_status::HostStatus;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::ZoneName;
use tokio::process::Child;
use tokio::process::Command;

const SHARED_KEY: &str = "6c61676f6f6e70726f78792074657374";
/// Time between two checks of a condition that a test waits for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after which a wait counts as a hang and the test fails.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of the next host that this test program starts.
static NEXT_HOST: AtomicU32 = AtomicU32::new(1);

/// The addresses of a host, all on an IP address of its own.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub upstream: SocketAddr,
    pub control: SocketAddr,
    pub entry_admin: SocketAddr,
}

/// A running host. Its processes are killed when it is dropped.
pub struct ProcessHost {
    pub id: HostId,
    pub zone: ZoneName,
    pub addresses: HostAddresses,
    entry: Child,
    control: Child,
    control_file: PathBuf,
}

impl ProcessHost {
    pub fn start(id: HostId, zone: &str, addresses: HostAddresses, platform: SocketAddr) -> Self {
        let entry_settings = format!(
            "host: {id}\nzone: {zone}\ncaller_address: {}\npeer_address: {}\nupstream_address: {}\n\
             control_address: {}\nadmin_address: {}\nshared_key: '{SHARED_KEY}'\n",
            addresses.caller,
            addresses.peer,
            addresses.upstream,
            addresses.control,
            addresses.entry_admin,
        );
        let control_settings = format!(
            "host: {id}\nzone: {zone}\ncontrol_address: {}\nplatform_address: {platform}\n\
             shared_key: '{SHARED_KEY}'\n",
            addresses.control,
        );
        let name = addresses.caller.to_string();
        let control_file = write_settings(&format!("control-{name}.yaml"), &control_settings);
        let entry_file = write_settings(&format!("entry-{name}.yaml"), &entry_settings);
        Self {
            id,
            zone: zone.into(),
            addresses,
            control: spawn(env!("CARGO_BIN_EXE_lagoon-control"), &control_file),
            control_file,
            entry: spawn(env!("CARGO_BIN_EXE_lagoon-entry"), &entry_file),
        }
    }

    /// Kills both daemons at once, as in the loss of the machine.
    pub async fn kill(&mut self) {
        self.entry.start_kill().unwrap();
        self.control.start_kill().unwrap();
        self.entry.wait().await.unwrap();
        self.control.wait().await.unwrap();
    }

    /// Suspends both daemons.
    pub async fn freeze(&self) {
        signal(&self.entry, "STOP").await;
        signal(&self.control, "STOP").await;
    }

    /// Resumes both daemons.
    pub async fn thaw(&self) {
        signal(&self.entry, "CONT").await;
        signal(&self.control, "CONT").await;
    }

    /// Signals the entry daemon to drain, waits for its exit and stops the control daemon. Returns
    /// whether both exited with success.
    pub async fn drain(&mut self) -> bool {
        signal(&self.entry, "TERM").await;
        let ended = self.entry.wait().await.unwrap();
        signal(&self.control, "TERM").await;
        ended.success() & self.control.wait().await.unwrap().success()
    }

    /// Kills the control daemon and starts a new one.
    pub async fn restart_control(&mut self) {
        self.control.start_kill().unwrap();
        self.control.wait().await.unwrap();
        self.control = spawn(env!("CARGO_BIN_EXE_lagoon-control"), &self.control_file);
    }

    /// Waits until the entry daemon's status meets a condition.
    pub async fn wait_for(&self, condition: impl Fn(&HostStatus) -> bool) -> HostStatus {
        let waiting = self.poll_until(condition);
        match tokio::time::timeout(HANG_TIMEOUT, waiting).await {
            Ok(status) => status,
            Err(_hang) => panic!(
                "host {} at {:?} hangs at {:?}",
                self.id,
                self.addresses,
                self.status().await
            ),
        }
    }

    async fn poll_until(&self, condition: impl Fn(&HostStatus) -> bool) -> HostStatus {
        loop {
            if let Some(status) = self.status().await
                && condition(&status)
            {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn status(&self) -> Option<HostStatus> {
        let url = format!("http://{}/v1/status", self.addresses.entry_admin);
        let response = reqwest::get(&url).await.ok()?;
        response.json().await.ok()
    }
}

/// Starts a program that logs to a file beside its settings.
fn spawn(program: &str, settings: &Path) -> Child {
    let log = File::create(settings.with_extension("log")).unwrap();
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stderr(Stdio::from(log))
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}

/// Sends a signal to a child that has not been waited for, so that its process ID is not reused.
async fn signal(child: &Child, name: &str) {
    let id = child.id().unwrap().to_string();
    let sent = Command::new("kill").args(["-s", name, &id]).status().await;
    assert!(sent.unwrap().success());
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name.replace(':', "-"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns addresses on an IP address that no other host of any test uses, with ports that the
/// operating system chose.
pub fn choose_addresses() -> HostAddresses {
    let process = std::process::id();
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let octets = [
        127,
        64 + (process >> 8) as u8 % 128,
        process as u8,
        number as u8,
    ];
    let any_port = SocketAddr::from((octets, 0));
    let datagram = [(); 3].map(|()| UdpSocket::bind(any_port).unwrap());
    let stream = [(); 2].map(|()| TcpListener::bind(any_port).unwrap());
    HostAddresses {
        caller: datagram[0].local_addr().unwrap(),
        peer: datagram[1].local_addr().unwrap(),
        upstream: datagram[2].local_addr().unwrap(),
        control: stream[0].local_addr().unwrap(),
        entry_admin: stream[1].local_addr().unwrap(),
    }
}
