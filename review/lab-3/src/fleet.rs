//! Gateways as separate processes, started with the command of the deploy file.

use std::error::Error;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;

/// Zones with their regions, as on the small sites.
pub const ZONES: [(&str, &str); 3] =
    [("ost-graz", "ost"), ("west-ibk", "west"), ("ost-wien", "ost")];

/// The gateways of a small deployment; the drop ends them.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Fleet {
    /// Starts three gateways in each zone, and waits until all are ready.
    pub fn start(store: SocketAddr, record: &Record) -> Result<Self, Box<dyn Error>> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-lab-3-{id}"));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self { gateways: Vec::new(), folder };
        for number in 0..9_u8 {
            let gateway = Gateway::start(number, store, &fleet.folder)?;
            // run.sh ends these if it is ended itself.
            record.line(format_args!("process {}", gateway.child.id()));
            fleet.gateways.push(gateway);
        }
        let end = Instant::now() + Duration::from_secs(8);
        while fleet.gateways.iter().any(|gateway| client::ready(gateway.ready) != 200) {
            if Instant::now() > end {
                return Err("the gateways do not get ready".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(fleet)
    }

    /// The lines of the first gateway's log that have this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("gateway-0.log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            drop(gateway.child.kill());
            drop(gateway.child.wait());
        }
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

impl Gateway {
    fn start(number: u8, store: SocketAddr, folder: &Path) -> Result<Self, Box<dyn Error>> {
        // An address that only this process uses, so that all ports of it are free.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, high.max(1), low, number + 1);
        let (front, ready) = (SocketAddr::from((ip, 8221)), SocketAddr::from((ip, 8224)));
        let (zone, _) = ZONES[usize::from(number) % ZONES.len()];
        let domains: Vec<String> =
            ZONES.iter().map(|(zone, region)| format!("{zone} = {region}")).collect();
        let settings = format!(
            "[gateway]\nname = front-{zone}-{number}\ndomain = {zone}\nfront = {front}\n\
             ready = {ready}\nmetrics = {ip}:9464\npeer = {ip}:7600\nstore = {store}\n\
             grace_s = 8\nmemory_mb = 260\ndescriptors = 4100\n\n[domains]\n{}\n\n\
             [retry budget]\nratio = 0.2\nextra = 58\nwindow_s = 10\n\n\
             [quota]\novershoot = 0.1\nslack = 140000\n\n\
             [version moves]\nexposure_share = 0.1\nexposure_requests = 50\n\n\
             [log]\nlevel = info\n",
            domains.join("\n")
        );
        let file = folder.join(format!("gateway-{number}.ini"));
        std::fs::write(&file, settings)?;
        let child = Command::new("target/release/knapweedglade")
            .args(["gateway", "--settings-from", "KNAPWEEDGLADE_SETTINGS"])
            .env_clear()
            .env("KNAPWEEDGLADE_SETTINGS", &file)
            .stdout(File::create(folder.join(format!("gateway-{number}.log")))?)
            .spawn()?;
        Ok(Self { front, ready, child })
    }
}
