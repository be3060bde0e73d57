use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kwg_adapter::{StoreCodec, StoreError, StoreTable, StoreWrite, WriteReply};
use kwg_gate::{StoreRow, is_usable_name};
use kwg_peer::FleetAuthority;
use kwg_settings::GatewaySettings;

use super::control_state::ControlState;
use super::store_link::StoreLink;

/// Key of the row with the fleet's certificate authority.
const AUTHORITY_KEY: &str = "authority";
/// Key prefix of the rows with the instances' addresses.
const INSTANCE_PREFIX: &str = "instance/";
/// Separates the certificate from the private key in the authority's row.
const PEM_BREAK: &str = "\n====\n";
/// Time limit for a call to the store.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Pause before a failed join is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Registers this instance in the store and finds the other instances there.
#[derive(Debug)]
pub(crate) struct InstanceDirectory {
    state: Rc<ControlState>,
    link: StoreLink,
}

/// The fleet's certificate authority and peers, as the store's instance rows describe them.
#[derive(Debug)]
pub(crate) struct FleetMembership {
    pub(crate) authority: FleetAuthority,
    pub(crate) peers: Vec<FleetPeer>,
}

/// A decoded instance row. The row of this instance is included.
#[derive(Debug)]
pub(crate) struct FleetPeer {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) domain: String,
}

impl InstanceDirectory {
    pub(crate) fn new(state: &Rc<ControlState>) -> Self {
        let link = StoreLink::new(state.settings.store, state.clock.clone());
        Self { state: Rc::clone(state), link }
    }

    /// Writes this instance's row, creates the fleet's authority if there is none, and reads all
    /// rows. Retries until all of this succeeds.
    pub(crate) async fn join(&mut self) -> FleetMembership {
        loop {
            match self.try_join().await {
                Ok(membership) => return membership,
                Err(reason) => log::info!("event=join-failed reason=\"{reason}\""),
            }
            self.state.clock.sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads all rows again, to find instances that joined later or at the same time. Logs a
    /// failure and returns `None`.
    pub(crate) async fn refresh(&mut self) -> Option<Vec<FleetPeer>> {
        match self.read().await {
            Ok(rows) => Some(peers_in(&rows)),
            Err(reason) => {
                log::info!("event=look-failed reason=\"{reason}\"");
                None
            }
        }
    }

    /// Removes this instance's row. A failure is only logged, since peers detect a silent instance
    /// anyway.
    pub(crate) async fn leave(&mut self) {
        let key = Self::own_key(&self.state.settings);
        let write = StoreWrite {
            table: StoreTable::Instances,
            key: &key,
            value: None,
            expected: None,
            unchanged: None,
        };
        if let Err(reason) = self.write(&write).await {
            log::info!("event=leave-failed reason=\"{reason}\"");
        }
    }

    async fn try_join(&mut self) -> Result<FleetMembership, String> {
        let settings = &self.state.settings;
        let (key, row) = (Self::own_key(settings), Self::own_row(settings));
        let value = Some(row.as_bytes());
        let write = StoreWrite {
            table: StoreTable::Instances,
            key: &key,
            value,
            expected: None,
            unchanged: None,
        };
        self.write(&write).await?;
        let mut has_conflict = false;
        loop {
            let rows = self.read().await?;
            let row = |key: &str| rows.iter().find(|row| row.key == key);
            let authority = row(AUTHORITY_KEY).and_then(|row| row.value.as_deref());
            if let Some(authority) = authority.and_then(decode_authority) {
                return Ok(FleetMembership { authority, peers: peers_in(&rows) });
            }
            // The first instance creates the authority. The write is conditional, so concurrent
            // writers all use the row of the one that succeeds.
            let authority = FleetAuthority::generate().map_err(|error| error.to_string())?;
            let value = format!("{}{PEM_BREAK}{}", authority.certificate(), authority.key());
            let write = StoreWrite {
                table: StoreTable::Instances,
                key: AUTHORITY_KEY,
                value: Some(value.as_bytes()),
                expected: Some(row(AUTHORITY_KEY).map_or(0, |row| row.revision)),
                unchanged: None,
            };
            if let WriteReply::Conflict(_) = self.write(&write).await? {
                if has_conflict {
                    return Err("the authority's row is not readable yet".to_owned());
                }
                has_conflict = true;
            }
        }
    }

    /// Reads all rows; the store returns at most some hundred at a time.
    async fn read(&mut self) -> Result<Vec<StoreRow>, String> {
        let (mut rows, mut from) = (Vec::new(), String::new());
        loop {
            let request = StoreCodec::encode_read(StoreTable::Instances, &from);
            let (status, body) = self.call(&request).await?;
            let reading = StoreCodec::decode_rows(status, &body);
            let reading = reading.map_err(|error: StoreError| error.to_string())?;
            let last = reading.rows.last().map(StoreRow::successor);
            rows.extend(reading.rows);
            match last.filter(|_| reading.has_more) {
                Some(next) => from = next,
                None => return Ok(rows),
            }
        }
    }

    async fn write(&mut self, write: &StoreWrite<'_>) -> Result<WriteReply, String> {
        let (status, body) = self.call(&StoreCodec::encode_write(write)).await?;
        StoreCodec::decode_write(status, &body).map_err(|error| error.to_string())
    }

    async fn call(&mut self, request: &[u8]) -> Result<(u16, Vec<u8>), String> {
        self.link.call(request, CALL_LIMIT).await.map_err(|error| error.to_string())
    }

    /// Key of this instance's row.
    pub(crate) fn own_key(settings: &GatewaySettings) -> String {
        format!("{INSTANCE_PREFIX}{}", settings.name)
    }

    /// Value of this instance's row.
    pub(crate) fn own_row(settings: &GatewaySettings) -> String {
        format!("{} {}", settings.peer, settings.gate.domains.own)
    }
}

/// Decodes the instance rows; skips rows that are malformed.
fn peers_in(rows: &[StoreRow]) -> Vec<FleetPeer> {
    let peer = |row: &StoreRow| {
        let name = row.key.strip_prefix(INSTANCE_PREFIX)?;
        let text = std::str::from_utf8(row.value.as_deref()?).ok()?;
        let (address, domain) = text.split_once(' ')?;
        if !is_usable_name(name) || !is_usable_name(domain) {
            return None;
        }
        let (name, domain) = (name.to_owned(), domain.to_owned());
        Some(FleetPeer { name, address: address.parse().ok()?, domain })
    };
    rows.iter().filter_map(peer).collect()
}

fn decode_authority(value: &[u8]) -> Option<FleetAuthority> {
    let text = std::str::from_utf8(value).ok()?;
    let (certificate, key) = text.split_once(PEM_BREAK)?;
    Some(FleetAuthority::from_pem(certificate, key))
}
