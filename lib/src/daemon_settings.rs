//! Settings of the two daemons: fields, defaults and limits.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::HostId;
use crate::ids::ZoneName;
use crate::load_settings::LoadSettings;
use crate::settings_reader::SettingsFaults;
use crate::settings_reader::SettingsReader;
use crate::shared_key::SharedKey;
use crate::unit_text::ByteText;
use crate::unit_text::DurationText;

/// Region of hosts whose settings name none.
pub const DEFAULT_REGION: &str = "main";
/// Upper limit of `max_datagram_age`; the records of requests are kept for that much longer.
const MAX_DATAGRAM_AGE: Duration = Duration::from_secs(30);

/// Settings of `lagoon-entry`.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The host's number in the published list.
    pub host: HostId,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// Address on which callers' datagrams arrive.
    pub caller_address: SocketAddr,
    /// Address on which peers' datagrams arrive.
    pub peer_address: SocketAddr,
    /// Address on which upstreams' datagrams arrive.
    pub upstream_address: SocketAddr,
    /// Address of the control daemon of the same host.
    pub control_address: SocketAddr,
    /// Address of metrics, health and status, which are not served without it.
    pub admin_address: Option<SocketAddr>,
    /// Secret key shared by all of the user's hosts.
    pub shared_key: SharedKey,
    /// Time for which a flow without packets is kept. The default of 2 h allows for idle sessions.
    pub flow_idle: Duration,
    /// Maximum age that a datagram is assumed to reach on its path; 1 s by default.
    pub max_datagram_age: Duration,
    /// Maximum time between the stop signal and the exit; 2 min by default, since a leaving host
    /// copies its flows to other hosts at a bounded rate.
    pub drain_limit: Duration,
    /// Settings of admission and balancing under load.
    pub load: LoadSettings,
}

/// Settings of `lagoon-control`.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The host's number in the published list.
    pub host: HostId,
    /// The availability zone it is in.
    pub zone: ZoneName,
    /// The region it is in.
    pub region: SmolStr,
    /// Address to which the entry daemon of the same host and the control daemons of others
    /// connect.
    pub control_address: SocketAddr,
    /// Address of the platform's configuration service.
    pub platform_address: SocketAddr,
    /// Address of metrics, health and status, which are not served without it.
    pub admin_address: Option<SocketAddr>,
    /// Secret key shared by all of the user's hosts.
    pub shared_key: SharedKey,
    /// Bytes per second that this daemon sends to other hosts; 3 KB by default.
    pub byte_budget: u64,
    /// Bytes per second that this daemon reads from the platform; 12 KB by default.
    pub read_budget: u64,
    /// Zones whose upstreams and hosts it needs; all zones if empty.
    pub zones: Vec<ZoneName>,
    /// Control addresses of peers to connect to if the platform cannot be reached at the start.
    pub seed_peers: Vec<SocketAddr>,
}

impl EntrySettings {
    /// Parses settings in YAML; the error lists all faults.
    pub fn parse(text: &str) -> Result<Self, SettingsFaults> {
        parse_settings(text, Self::read, Self::check)
    }

    fn read(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let host = reader.required("host");
        let zone = reader.required("zone");
        let caller_address = reader.required("caller_address");
        let peer_address = reader.required("peer_address");
        let upstream_address = reader.required("upstream_address");
        let control_address = reader.required("control_address");
        let admin_address = reader.optional("admin_address", None);
        let shared_key = reader.required("shared_key");
        let flow_idle =
            reader.optional_as::<_, DurationText>("flow_idle", Duration::from_secs(7_200));
        let max_datagram_age =
            reader.optional_as::<_, DurationText>("max_datagram_age", Duration::from_secs(1));
        let drain_limit =
            reader.optional_as::<_, DurationText>("drain_limit", Duration::from_secs(120));
        let load = reader.optional("load", LoadSettings::default());
        Some(Self {
            host: host?,
            zone: zone?,
            caller_address: caller_address?,
            peer_address: peer_address?,
            upstream_address: upstream_address?,
            control_address: control_address?,
            admin_address,
            shared_key: shared_key?,
            flow_idle,
            max_datagram_age,
            drain_limit,
            load,
        })
    }

    fn check(&self, reader: &mut SettingsReader<'_>) {
        let datagram_addresses = [
            ("caller_address", self.caller_address),
            ("peer_address", self.peer_address),
            ("upstream_address", self.upstream_address),
        ];
        check_distinct(reader, &datagram_addresses);
        check_stream_addresses(reader, self.control_address, self.admin_address);
        if self.flow_idle.is_zero() {
            reader.fault("flow_idle", "must be longer than zero");
        }
        if self.max_datagram_age.is_zero() || self.max_datagram_age > MAX_DATAGRAM_AGE {
            reader.fault("max_datagram_age", "must be from 1ms to 30s");
        }
    }
}

impl ControlSettings {
    /// Parses settings in YAML; the error lists all faults.
    pub fn parse(text: &str) -> Result<Self, SettingsFaults> {
        parse_settings(text, Self::read, Self::check)
    }

    fn read(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let host = reader.required("host");
        let zone = reader.required("zone");
        let region = reader.optional("region", SmolStr::new_static(DEFAULT_REGION));
        let control_address = reader.required("control_address");
        let platform_address = reader.required("platform_address");
        let admin_address = reader.optional("admin_address", None);
        let shared_key = reader.required("shared_key");
        let byte_budget = reader.optional_as::<_, ByteText>("byte_budget", 3_000);
        let read_budget = reader.optional_as::<_, ByteText>("read_budget", 12_000);
        let zones = reader.optional("zones", Vec::new());
        let seed_peers = reader.optional("seed_peers", Vec::new());
        Some(Self {
            host: host?,
            zone: zone?,
            region,
            control_address: control_address?,
            platform_address: platform_address?,
            admin_address,
            shared_key: shared_key?,
            byte_budget,
            read_budget,
            zones,
            seed_peers,
        })
    }

    fn check(&self, reader: &mut SettingsReader<'_>) {
        let budgets = [
            ("byte_budget", self.byte_budget),
            ("read_budget", self.read_budget),
        ];
        for (field, bytes) in budgets {
            if bytes == 0 {
                reader.fault(field, "must be more than zero");
            }
        }
        check_stream_addresses(reader, self.control_address, self.admin_address);
    }
}

/// Reads the fields, checks them against each other if all are present, and returns all faults.
fn parse_settings<T>(
    text: &str,
    read: impl FnOnce(&mut SettingsReader<'_>) -> Option<T>,
    check: impl FnOnce(&T, &mut SettingsReader<'_>),
) -> Result<T, SettingsFaults> {
    let mut reader = SettingsReader::new(text)?;
    let settings = read(&mut reader);
    if let Some(settings) = &settings {
        check(settings, &mut reader);
    }
    reader.finish(settings)
}

/// Records a fault if two fields have the same TCP address.
fn check_stream_addresses(
    reader: &mut SettingsReader<'_>,
    control: SocketAddr,
    admin: Option<SocketAddr>,
) {
    let mut addresses = vec![("control_address", control)];
    addresses.extend(admin.map(|admin| ("admin_address", admin)));
    check_distinct(reader, &addresses);
}

/// Records a fault if two fields have the same address. Port 0 is chosen by the system and never
/// clashes.
fn check_distinct(reader: &mut SettingsReader<'_>, addresses: &[(&'static str, SocketAddr)]) {
    for (index, (field, address)) in addresses.iter().enumerate() {
        let earlier = addresses[..index]
            .iter()
            .find(|(_field, other)| other == address && address.port() != 0);
        if let Some((other, _address)) = earlier {
            reader.fault(field, &format!("{address} stands in {other} too"));
        }
    }
}
