//! Rows of the two tables in the administration API.

use std::{collections::BTreeMap, marker::PhantomData, sync::Arc};

use base_types::{PoolIdentity, PoolName, RouteName, RowVersion};
use error_stack::Report;
use io_platform::{ObjectKey, PlatformError, WriteGuard};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{StatusCode, header},
    writing::Json,
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use state_tables::{PoolRow, RouteRow, RowFault, check_rows};

use crate::{
    admin::{AdminState, write_error},
    platform::{POOL_PREFIX, ROUTE_PREFIX},
};

const ROW_BYTES_MAX: usize = 64 * 1024;

#[derive(Debug, Clone, Copy)]
pub(super) enum RowAction {
    Show,
    Put,
    Delete,
}

pub(super) struct RowHandler<Row> {
    pub(super) state: Arc<AdminState>,
    pub(super) action: RowAction,
    pub(super) row: PhantomData<fn() -> Row>,
}

/// A row of either table as the administration API handles it.
pub(super) trait AdminRow: Serialize + DeserializeOwned + Send + 'static {
    const PREFIX: &'static str;

    fn is_named(&self, name: &str) -> bool;

    fn prepare(&mut self, current: Option<Self>)
    where
        Self: Sized;

    fn insert(
        self,
        routes: &mut BTreeMap<RouteName, RouteRow>,
        pools: &mut BTreeMap<PoolName, PoolRow>,
    );
}

impl AdminRow for RouteRow {
    const PREFIX: &'static str = ROUTE_PREFIX;

    fn is_named(&self, name: &str) -> bool {
        self.name.as_str() == name
    }

    fn prepare(&mut self, _: Option<Self>) {}

    fn insert(
        self,
        routes: &mut BTreeMap<RouteName, RouteRow>,
        _: &mut BTreeMap<PoolName, PoolRow>,
    ) {
        routes.insert(self.name.clone(), self);
    }
}

impl AdminRow for PoolRow {
    const PREFIX: &'static str = POOL_PREFIX;

    fn is_named(&self, name: &str) -> bool {
        self.name.as_str() == name
    }

    /// A pool keeps its identity through edits and gets a new one when it is created.
    fn prepare(&mut self, current: Option<Self>) {
        let identity = current.and_then(|row| row.identity);
        self.identity = identity.or_else(|| Some(PoolIdentity(rand::random())));
    }

    fn insert(
        self,
        _: &mut BTreeMap<RouteName, RouteRow>,
        pools: &mut BTreeMap<PoolName, PoolRow>,
    ) {
        pools.insert(self.name.clone(), self);
    }
}

#[async_trait]
impl<Row: AdminRow> Handler for RowHandler<Row> {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        let outcome = match self.action {
            RowAction::Show => self.show(&name, res).await,
            RowAction::Put => self.put(&name, req, res).await,
            RowAction::Delete => self.delete(&name, req, res).await,
        };
        let Err(report) = outcome else { return };
        match report.current_context() {
            PlatformError::Conflict => {
                write_error(res, StatusCode::PRECONDITION_FAILED, "the row has another version");
            }
            error => write_error(res, StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }
}

impl<Row: AdminRow> RowHandler<Row> {
    async fn show(&self, name: &str, res: &mut Response) -> Result<(), Report<PlatformError>> {
        match self.state.platform.read(&object_key::<Row>(name)).await? {
            Some(object) => {
                write_version(res, object.version);
                res.render(Json(object.value.unwrap_or(Value::Null)));
            }
            None => write_error(res, StatusCode::NOT_FOUND, "no such row"),
        }
        Ok(())
    }

    async fn put(
        &self,
        name: &str,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), Report<PlatformError>> {
        let guard = write_guard(req);
        let body = req.payload_with_max_size(ROW_BYTES_MAX).await.cloned().unwrap_or_default();
        let mut row: Row = match serde_json::from_slice(&body) {
            Ok(row) => row,
            Err(error) => {
                write_error(res, StatusCode::BAD_REQUEST, &error.to_string());
                return Ok(());
            }
        };
        if !row.is_named(name) {
            write_error(res, StatusCode::BAD_REQUEST, "`name` differs from the path");
            return Ok(());
        }
        let key = object_key::<Row>(name);
        let current = self.state.platform.read(&key).await?.and_then(|object| object.value);
        row.prepare(current.and_then(|value| serde_json::from_value(value).ok()));
        let value = serde_json::to_value(&row).unwrap_or_default();
        let faults = self.faults_with(row).await;
        if !faults.is_empty() {
            res.status_code(StatusCode::UNPROCESSABLE_ENTITY);
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            res.render(Json(json!({ "faults": faults })));
            return Ok(());
        }
        let answer = self.state.platform.write(&key, guard, &value).await?;
        write_version(res, answer.version);
        res.render(Json(json!({ "version": answer.version })));
        Ok(())
    }

    async fn delete(
        &self,
        name: &str,
        req: &mut Request,
        res: &mut Response,
    ) -> Result<(), Report<PlatformError>> {
        let WriteGuard::Version(version) = write_guard(req) else {
            write_error(res, StatusCode::PRECONDITION_REQUIRED, "`If-Match` must name the version");
            return Ok(());
        };
        let answer = self.state.platform.delete(&object_key::<Row>(name), version).await?;
        res.render(Json(json!({ "version": answer.version })));
        Ok(())
    }

    /// Faults that the tables in force would have with the row put in place.
    async fn faults_with(&self, row: Row) -> Vec<RowFault> {
        let faults = self.state.handle.query(move |core| {
            let table = core.table();
            let mut routes = table.routes().map(|row| (row.name.clone(), row.clone())).collect();
            let mut pools = table.pools().map(|row| (row.name.clone(), row.clone())).collect();
            row.insert(&mut routes, &mut pools);
            check_rows(&routes, &pools)
        });
        faults.await.unwrap_or_default()
    }
}

fn object_key<Row: AdminRow>(name: &str) -> ObjectKey {
    ObjectKey::new(&format!("{}{name}", Row::PREFIX))
}

fn write_guard(req: &Request) -> WriteGuard {
    let version = req
        .headers()
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok());
    version.map_or(WriteGuard::Absent, |version| WriteGuard::Version(RowVersion(version)))
}

fn write_version(res: &mut Response, version: RowVersion) {
    if let Ok(value) = format!("\"{}\"", version.0).parse() {
        res.headers_mut().insert(header::ETAG, value);
    }
}
