//! A proxy in front of the store, whose open connections can go silent for good while new ones work.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections of an earlier age carry nothing more.
    age: Arc<AtomicU64>,
    ends: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(ip: Ipv4Addr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let age = Arc::new(AtomicU64::new(0));
        let accepting = Arc::clone(&age);
        let ends: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let kept = Arc::clone(&ends);
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let Ok(far) = TcpStream::connect(target) else { continue };
                drop((near.set_nodelay(true), far.set_nodelay(true)));
                for end in [&near, &far] {
                    kept.lock().unwrap_or_else(PoisonError::into_inner).extend(end.try_clone());
                }
                let own = accepting.load(Ordering::SeqCst);
                let pairs = [(&near, &far), (&far, &near)];
                for (from, to) in pairs {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let age = Arc::clone(&accepting);
                    thread::spawn(move || carry(from, to, own, &age));
                }
            }
        });
        Self { address, age, ends }
    }

    /// All open connections end, at both sides.
    pub fn reset_all(&self) {
        for end in self.ends.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            drop(end.shutdown(Shutdown::Both));
        }
    }

    /// All open connections go silent: nothing is carried, and nothing is closed. New ones work.
    pub fn go_silent(&self) {
        self.age.fetch_add(1, Ordering::SeqCst);
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, own: u64, age: &AtomicU64) {
    let mut part = [0; 16 << 10];
    loop {
        let count = from.read(&mut part);
        if age.load(Ordering::SeqCst) != own {
            // Both ends stay open, and the kernel answers probes.
            loop {
                thread::sleep(Duration::from_secs(3_600));
            }
        }
        match count {
            Ok(count) if count > 0 && to.write_all(&part[..count]).is_ok() => {}
            _ => {
                drop(to.shutdown(Shutdown::Write));
                return;
            }
        }
    }
}
