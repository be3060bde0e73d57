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
use crate::engine::json_response;
use crate::{HttpService, RequestHandler};

/// Stand-in for the platform: serves its tables, objects and instance list over HTTP.
#[derive(Debug, Default)]
pub struct PlatformStandin {
    tables: RefCell<TableState>,
    objects: RefCell<BTreeMap<String, Vec<u8>>>,
    /// Every version of the instance list, oldest first, each with the time when it was put.
    list_versions: RefCell<Vec<(Instant, InstanceList)>>,
    faults: RefCell<PlatformFaults>,
    reads: Cell<u64>,
    writes: Cell<u64>,
}

impl PlatformStandin {
    /// Runs the platform until accepting a connection fails.
    ///
    /// # Errors
    /// The I/O error if the address cannot be bound or a connection cannot be accepted.
    pub async fn run(
        address: SocketAddr,
        executor: Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<()> {
        HttpService::serve(address, Rc::new(Self::default()), executor).await
    }

    /// The newest instance list put at least `list_lag` ago; an empty one if there is none.
    fn visible_list(&self) -> InstanceList {
        let lag = self.faults.borrow().list_lag;
        let list_versions = self.list_versions.borrow();
        let visible = list_versions.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let empty = InstanceList { version: 0, rows: Vec::new() };
        visible.map_or(empty, |(_, list)| list.clone())
    }

    async fn put_list(&self, request: &mut Request) -> Option<Response> {
        let rows: Vec<InstanceRow> =
            serde_json::from_slice(&request.body_bytes().await.ok()?).ok()?;
        let mut list_versions = self.list_versions.borrow_mut();
        let version = list_versions.last().map_or(1, |(_, list)| list.version + 1);
        list_versions.push((Instant::now(), InstanceList { version, rows }));
        Some(Response::new(StatusCode::Ok))
    }

    async fn commit(&self, request: &mut Request) -> Option<Response> {
        let txn = serde_json::from_slice(&request.body_bytes().await.ok()?).ok()?;
        self.writes.set(self.writes.get() + 1);
        let committed = self.tables.borrow_mut().commit(txn);
        if committed && self.faults.borrow_mut().take_lost_answer() {
            return None;
        }
        let status = if committed { StatusCode::Ok } else { StatusCode::Conflict };
        Some(Response::new(status))
    }

    async fn handle_object(&self, key: &str, request: &mut Request) -> Option<Response> {
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

    fn query_value(request: &Request, wanted: &str) -> String {
        let value = request.url().query_pairs().find(|(name, _)| name == wanted);
        value.map(|(_, value)| value.into_owned()).unwrap_or_default()
    }

    fn object_keys(&self, prefix: &str) -> Response {
        let objects = self.objects.borrow();
        json_response(&objects.keys().filter(|key| key.starts_with(prefix)).collect::<Vec<_>>())
    }

    async fn handle_request(&self, mut request: Request) -> Option<Response> {
        let path = request.url().path().to_owned();
        if let Some(key) = path.strip_prefix("/v1/objects/") {
            return self.handle_object(key, &mut request).await;
        }
        match (request.method(), path.as_str()) {
            (Method::Get, "/v1/rows") => {
                self.reads.set(self.reads.get() + 1);
                Some(json_response(
                    &self.tables.borrow().rows(&Self::query_value(&request, "table")),
                ))
            }
            (Method::Post, "/v1/get") => {
                self.reads.set(self.reads.get() + 1);
                let keys: Vec<String> =
                    serde_json::from_slice(&request.body_bytes().await.ok()?).ok()?;
                let table = Self::query_value(&request, "table");
                Some(json_response(&self.tables.borrow().rows_by_keys(&table, &keys)))
            }
            (Method::Post, "/v1/txn") => self.commit(&mut request).await,
            (Method::Get, "/v1/instances") => Some(json_response(&self.visible_list())),
            (Method::Get, "/v1/objects") => {
                Some(self.object_keys(&Self::query_value(&request, "prefix")))
            }
            _ => Some(Response::new(StatusCode::NotFound)),
        }
    }
}

impl RequestHandler for PlatformStandin {
    async fn handle(
        self: Rc<Self>,
        mut request: Request,
        _socket: SocketStream,
    ) -> Option<Response> {
        // Requests for faults, the instance list and the counters are exempt from the faults.
        match (request.method(), request.url().path()) {
            (Method::Post, "/fault") => {
                return Some(self.faults.borrow_mut().set_from_query(&request));
            }
            (Method::Put, "/v1/instances") => return self.put_list(&mut request).await,
            (Method::Get, "/stats") => {
                let (reads, writes) = (self.reads.get(), self.writes.get());
                return Some(json_response(&json!({ "reads": reads, "writes": writes })));
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
        self.handle_request(request).await
    }
}
