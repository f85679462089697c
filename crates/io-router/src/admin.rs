//! The port that operators connect to.

mod rows;
mod status;

use std::{marker::PhantomData, sync::Arc};

use io_platform::PlatformClient;
use salvo::{Response, Router, http::StatusCode, writing::Json};
use serde_json::json;
use state_tables::{PoolRow, RouteRow};

use crate::{
    admin::{
        rows::{RowAction, RowHandler},
        status::{ExplainHandler, StatusHandler},
    },
    handle::LoopHandle,
};

struct AdminState {
    handle: LoopHandle,
    platform: PlatformClient,
}

/// The routes of the operators' port.
pub(crate) fn operator_router(handle: LoopHandle, platform: PlatformClient) -> Router {
    let state = Arc::new(AdminState { handle, platform });
    let route = |action| RowHandler::<RouteRow> { state: state.clone(), action, row: PhantomData };
    let pool = |action| RowHandler::<PoolRow> { state: state.clone(), action, row: PhantomData };
    Router::with_path("admin/v1")
        .push(Router::with_path("status").get(StatusHandler(state.clone())))
        .push(Router::with_path("explain/{request}").get(ExplainHandler(state.clone())))
        .push(
            Router::with_path("routes/{name}")
                .get(route(RowAction::Show))
                .put(route(RowAction::Put))
                .delete(route(RowAction::Delete)),
        )
        .push(
            Router::with_path("pools/{name}")
                .get(pool(RowAction::Show))
                .put(pool(RowAction::Put))
                .delete(pool(RowAction::Delete)),
        )
}

fn write_error(res: &mut Response, status: StatusCode, message: &str) {
    res.status_code(status);
    res.render(Json(json!({ "error": message })));
}
