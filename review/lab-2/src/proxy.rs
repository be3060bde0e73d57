//! A proxy between a client and a gateway, whose connections can be reset.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

pub struct Proxy {
    pub address: SocketAddr,
    ends: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(ip: Ipv4Addr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ends: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let kept = Arc::clone(&ends);
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let Ok(far) = TcpStream::connect(target) else { continue };
                drop((near.set_nodelay(true), far.set_nodelay(true)));
                for end in [&near, &far] {
                    kept.lock().unwrap_or_else(PoisonError::into_inner).extend(end.try_clone());
                }
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    thread::spawn(move || carry(from, to));
                }
            }
        });
        Self { address, ends }
    }

    /// All open connections end, at both sides.
    pub fn reset_all(&self) {
        for end in self.ends.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            drop(end.shutdown(Shutdown::Both));
        }
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 16 << 10];
    loop {
        match from.read(&mut part) {
            Ok(count) if count > 0 && to.write_all(&part[..count]).is_ok() => {}
            _ => {
                drop(to.shutdown(Shutdown::Write));
                return;
            }
        }
    }
}
