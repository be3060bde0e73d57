//! Runs a stand-in platform per test.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::block_on;
use http_types::Method;
use kwg_clock::ClockHandle;
use kwg_http::CallClient;
use kwg_standin::PlatformStandin;
use kwg_store::{ConfigStore, KeyStore, TableClient};

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("bound")
}

/// Clients of one test's stand-in platform.
pub struct Platform {
    client: CallClient,
    pub store: ConfigStore,
    pub keys: KeyStore,
}

impl Platform {
    pub async fn fault(&self, query: &str) {
        let request = self.client.request(Method::Post, format!("/fault?{query}"));
        self.client.call(request.expect("a valid path")).await.expect("the stand-in answers");
    }
}

/// Runs a test on its own stand-in platform, as soon as that replies.
pub fn with_platform(test: impl AsyncFnOnce(Platform)) {
    let executor = Rc::new(LocalExecutor::new());
    let address = free_address();
    let clock = ClockHandle::system();
    let client = CallClient::new(address, Duration::from_millis(500), clock.clone());
    let tables = TableClient::new(client.clone());
    let keys = KeyStore::new(tables.clone());
    let store = ConfigStore::new(tables, clock);
    executor.spawn(PlatformStandin::run(address, Rc::clone(&executor))).detach();
    block_on(executor.run(async {
        while store.read().await.is_err() {
            ClockHandle::system().sleep(Duration::from_millis(5)).await;
        }
        test(Platform { client, store, keys }).await;
    }));
}
