use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Timer;
use http_types::{Method, Request, Response, StatusCode};
use kwg_http::SocketStream;
use kwg_model::InstanceRow;
use kwg_store::InstanceList;
use serde_json::json;

use super::platform_faults::PlatformFaults;
use super::table_state::TableState;
use crate::engine::json_page;
use crate::{HttpService, PageHandler};

/// The platform over HTTP.
#[derive(Debug, Default)]
pub struct PlatformStandin {
    tables: RefCell<TableState>,
    objects: RefCell<BTreeMap<String, Vec<u8>>>,
    /// The versions of the instance list, each with the time when it was made.
    lists: RefCell<Vec<(Instant, InstanceList)>>,
    faults: RefCell<PlatformFaults>,
    reads: Cell<u64>,
    writes: Cell<u64>,
}

impl PlatformStandin {
    /// Runs the platform for ever.
    ///
    /// # Errors
    /// The system's error if the address cannot be listened on.
    pub async fn run(
        address: SocketAddr,
        executor: Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<()> {
        HttpService::serve(address, Rc::new(Self::default()), executor).await
    }

    /// The newest list that the lag lets through.
    fn list(&self) -> InstanceList {
        let lag = self.faults.borrow().list_lag;
        let lists = self.lists.borrow();
        let visible = lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let empty = InstanceList { version: 0, rows: Vec::new() };
        visible.map_or(empty, |(_, list)| list.clone())
    }

    async fn put_list(&self, request: &mut Request) -> Option<Response> {
        let rows: Vec<InstanceRow> =
            serde_json::from_slice(&request.body_bytes().await.ok()?).ok()?;
        let mut lists = self.lists.borrow_mut();
        let version = lists.last().map_or(1, |(_, list)| list.version + 1);
        lists.push((Instant::now(), InstanceList { version, rows }));
        Some(Response::new(StatusCode::Ok))
    }

    async fn commit(&self, request: &mut Request) -> Option<Response> {
        let txn = serde_json::from_slice(&request.body_bytes().await.ok()?).ok()?;
        self.writes.set(self.writes.get() + 1);
        let committed = self.tables.borrow_mut().commit(txn);
        if committed && self.faults.borrow_mut().loses_answer() {
            return None;
        }
        let status = if committed { StatusCode::Ok } else { StatusCode::Conflict };
        Some(Response::new(status))
    }

    async fn object(&self, key: &str, request: &mut Request) -> Option<Response> {
        match request.method() {
            Method::Put => {
                let bytes = request.body_bytes().await.ok()?;
                self.objects.borrow_mut().insert(key.to_owned(), bytes);
                Some(Response::new(StatusCode::Ok))
            }
            Method::Get => {
                let objects = self.objects.borrow();
                let Some(bytes) = objects.get(key) else {
                    return Some(Response::new(StatusCode::NotFound));
                };
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(bytes.as_slice());
                Some(response)
            }
            _ => Some(Response::new(StatusCode::MethodNotAllowed)),
        }
    }

    fn query(request: &Request, wanted: &str) -> String {
        let value = request.url().query_pairs().find(|(name, _)| name == wanted);
        value.map(|(_, value)| value.into_owned()).unwrap_or_default()
    }

    fn object_keys(&self, prefix: &str) -> Response {
        let objects = self.objects.borrow();
        json_page(&objects.keys().filter(|key| key.starts_with(prefix)).collect::<Vec<_>>())
    }

    async fn service(&self, mut request: Request) -> Option<Response> {
        let path = request.url().path().to_owned();
        if let Some(key) = path.strip_prefix("/v1/objects/") {
            return self.object(key, &mut request).await;
        }
        match (request.method(), path.as_str()) {
            (Method::Get, "/v1/rows") => {
                self.reads.set(self.reads.get() + 1);
                Some(json_page(&self.tables.borrow().rows(&Self::query(&request, "table"))))
            }
            (Method::Post, "/v1/get") => {
                self.reads.set(self.reads.get() + 1);
                let keys: Vec<String> =
                    serde_json::from_slice(&request.body_bytes().await.ok()?).ok()?;
                let table = Self::query(&request, "table");
                Some(json_page(&self.tables.borrow().rows_of(&table, &keys)))
            }
            (Method::Post, "/v1/txn") => self.commit(&mut request).await,
            (Method::Get, "/v1/instances") => Some(json_page(&self.list())),
            (Method::Get, "/v1/objects") => {
                Some(self.object_keys(&Self::query(&request, "prefix")))
            }
            _ => Some(Response::new(StatusCode::NotFound)),
        }
    }
}

impl PageHandler for PlatformStandin {
    async fn page(self: Rc<Self>, mut request: Request, _socket: SocketStream) -> Option<Response> {
        // What the platform and its tests set is not subject to the faults.
        match (request.method(), request.url().path()) {
            (Method::Post, "/fault") => return Some(self.faults.borrow_mut().switch(&request)),
            (Method::Put, "/v1/instances") => return self.put_list(&mut request).await,
            (Method::Get, "/stats") => {
                let (reads, writes) = (self.reads.get(), self.writes.get());
                return Some(json_page(&json!({ "reads": reads, "writes": writes })));
            }
            _ => {}
        }
        let (is_down, delay) = {
            let faults = self.faults.borrow();
            (faults.is_down, faults.delay)
        };
        Timer::after(delay).await;
        if is_down {
            return Some(Response::new(StatusCode::ServiceUnavailable));
        }
        self.service(request).await
    }
}
