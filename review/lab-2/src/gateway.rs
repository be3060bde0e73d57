//! Gateways as processes, started as the deploy file says.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::http::call;

/// What the platform fills into the template of the settings.
pub struct Place {
    pub name: String,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub store: SocketAddr,
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Gateway {
    /// Starts a gateway in `folder`, which holds its settings and its log.
    pub fn start(folder: &Path, place: &Place) -> Self {
        let Place { name, zone, ip, store } = place;
        let template = std::fs::read_to_string("deploy/gateway.ini").expect("the repository root");
        let text = template
            .replace("{{nodeName}}", name)
            .replace("{{zone}}", zone)
            .replace("{{listen.front}}", &format!("{ip}:8221"))
            .replace("{{listen.ready}}", &format!("{ip}:8224"))
            .replace("{{ip}}", &ip.to_string())
            .replace("{{portRange.0}}", "7600")
            .replace("{{provider.address}}", &store.to_string())
            .replace("{{bounds.graceS}}", "8")
            .replace("{{limits.memoryMb}}", "260")
            .replace("{{limits.maxFds}}", "4100")
            .replace(
                "{{#zones}}{{@}} = {{.}}\n{{/zones}}",
                "ost-graz = ost\nost-wien = ost\nwest-ibk = west\n",
            )
            .replace("{{bounds.retryBudgetRatio}}", "0.2")
            .replace("{{bounds.budgetExtra}}", "58")
            .replace("{{bounds.budgetWindowS}}", "10")
            .replace("{{bounds.quotaOvershoot}}", "0.1")
            .replace("{{bounds.quotaSlack}}", "140000")
            .replace("{{bounds.exposureShare}}", "0.1")
            .replace("{{bounds.exposureSlack}}", "50");
        // The sections on cold targets have no value on the small sites.
        let mut lines = Vec::new();
        let mut depth = 0;
        for line in text.lines() {
            depth += usize::from(line.starts_with("{{#"));
            if depth == 0 {
                lines.push(line);
            }
            depth -= usize::from(line.starts_with("{{/"));
        }
        let text = lines.join("\n") + "\n";
        assert!(!text.contains("{{"), "the template has a placeholder that is not known: {text}");
        let file = folder.join(format!("{name}.ini"));
        std::fs::write(&file, text).expect("writable");
        let log =
            File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
        let child = Command::new("target/release/knapweedglade")
            .args(["gateway", "--settings-from", "KNAPWEEDGLADE_SETTINGS"])
            .env("KNAPWEEDGLADE_SETTINGS", &file)
            .stdout(log.expect("writable"))
            .spawn()
            .expect("the build of the deploy file has run");
        let (front, ready) = ((*ip, 8221).into(), (*ip, 8224).into());
        Self { name: name.clone(), front, ready, child }
    }

    pub fn is_ready(&self) -> bool {
        let check = b"GET /knapweedglade/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.ready, check, Duration::from_secs(1)).status == 200
    }

    /// Waits until it is ready; returns whether it is within 10 s.
    pub fn wait_ready(&self) -> bool {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process exists");
    }
}
