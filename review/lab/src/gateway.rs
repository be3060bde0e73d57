//! Gateway processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Connection;

/// A gateway process. It is killed when this is dropped.
pub struct Gateway {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Where a gateway runs.
pub struct Place<'a> {
    /// The repository.
    pub root: &'a Path,
    /// A temporary folder.
    pub folder: &'a Path,
    /// Address of the machine.
    pub ip: String,
    /// Address of the store.
    pub store: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Gateway {
    /// Fills the template of the deploy file and starts the role's command.
    pub fn start(name: &str, place: &Place<'_>) -> io::Result<Self> {
        let template = fs::read_to_string(place.root.join("deploy/gateway.ini"))?;
        let settings = place.folder.join(format!("{name}.ini"));
        fs::write(&settings, fill(&template, name, place))?;
        let log: PathBuf = place.folder.join(format!("{name}.log"));
        let child = Command::new(place.root.join("target/release/knapweedglade"))
            .args(["gateway", "--settings-from", "KNAPWEEDGLADE_SETTINGS"])
            .env("KNAPWEEDGLADE_SETTINGS", &settings)
            .current_dir(place.root)
            .stdin(Stdio::null())
            .stdout(File::create(log)?)
            .spawn()?;
        let address = |port: u16| {
            format!("{}:{port}", place.ip)
                .parse()
                .map_err(|error| io::Error::other(format!("{error}")))
        };
        Ok(Self { front: address(8221)?, ready: address(8224)?, child })
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if let Ok(mut connection) = Connection::open(self.ready) {
                let call =
                    b"GET /knapweedglade/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                connection.send(call)?;
                if connection.answer(Duration::from_secs(1)).status == 200 {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(ErrorKind::TimedOut.into())
    }
}

/// Fills the template with the settings of a machine of a small deployment.
fn fill(template: &str, name: &str, place: &Place<'_>) -> String {
    let zones = [("ost-graz", "ost"), ("west-ibk", "west"), ("ost-wien", "ost")];
    let zones: String = zones.iter().map(|(zone, region)| format!("{zone} = {region}\n")).collect();
    let (ip, store) = (&place.ip, place.store);
    let (begin, end) = ("{{#zones}}", "{{/zones}}");
    let mut text = template.to_owned();
    if let (Some(from), Some(to)) = (text.find(begin), text.find(end)) {
        text.replace_range(from..to + end.len(), &zones);
    }
    // What depends on a value that the deployment does not have is left out.
    while let Some(from) = text.find("{{#bounds.") {
        let name = text[from + 3..].split("}}").next().unwrap_or_default().to_owned();
        let end = format!("{{{{/{name}}}}}");
        let to = text[from..].find(&end).map_or(text.len(), |at| from + at + end.len());
        text.replace_range(from..to, "");
    }
    let fields = [
        ("nodeName", name.to_owned()),
        ("zone", "ost-graz".to_owned()),
        ("listen.front", format!("{ip}:8221")),
        ("listen.ready", format!("{ip}:8224")),
        ("ip", ip.clone()),
        ("portRange.0", "7600".to_owned()),
        ("provider.address", store.to_string()),
        ("bounds.graceS", "8".to_owned()),
        ("limits.memoryMb", "260".to_owned()),
        ("limits.maxFds", "4100".to_owned()),
        ("bounds.retryBudgetRatio", "0.2".to_owned()),
        ("bounds.budgetExtra", "58".to_owned()),
        ("bounds.budgetWindowS", "10".to_owned()),
        ("bounds.quotaOvershoot", "0.1".to_owned()),
        ("bounds.quotaSlack", "140000".to_owned()),
        ("bounds.exposureShare", "0.1".to_owned()),
        ("bounds.exposureSlack", "50".to_owned()),
    ];
    for (field, value) in fields {
        text = text.replace(&format!("{{{{{field}}}}}"), &value);
    }
    text
}
