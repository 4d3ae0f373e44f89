//! Sends orders to engines, each only while the placer's permit is valid.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use savoryvane_core::placement::{Order, OrderKind, OrderResult};
use savoryvane_wire::backend::{self, OrderAction, OrderReply};
use tokio::time::{self, Instant};

use crate::{
    connections::{ConnectionSettings, Connections, Exchange, MAX_HEAD_BYTES, SendError},
    platform::request,
    settings::Backends,
};

/// Maximum size of the reply to an order.
const MAX_REPLY_BYTES: usize = 64 * 1024;
/// Maximum number of idle connections to one engine.
const MAX_IDLE: usize = 1;

/// Client of the order interface of engines.
#[derive(Debug)]
pub(crate) struct OrderClient {
    timeout: Duration,
    connections: Arc<Connections>,
}

impl OrderClient {
    /// Creates a client whose orders time out after `timeout_ms`.
    pub(crate) fn new(settings: &Backends, timeout_ms: u64) -> Self {
        let connections = Connections::new(ConnectionSettings {
            connect_timeout: Duration::from_millis(settings.connect_timeout_ms),
            max_idle: MAX_IDLE,
            idle_timeout: Duration::from_millis(settings.idle_timeout_ms),
            max_response_bytes: (MAX_HEAD_BYTES + MAX_REPLY_BYTES) as u64,
        });
        Self {
            timeout: Duration::from_millis(timeout_ms),
            connections,
        }
    }

    /// Sends an order to the engine at `addr`, unless `not_after` has passed.
    pub(crate) async fn send(
        &self,
        addr: SocketAddr,
        order: &Order,
        not_after: Instant,
    ) -> OrderResult {
        let sending = self.exchange(addr, order, not_after);
        match time::timeout(self.timeout, sending).await {
            Ok(result) => result,
            Err(_) => {
                self.connections.close_idle(addr);
                OrderResult::Unanswered
            }
        }
    }

    async fn exchange(&self, addr: SocketAddr, order: &Order, not_after: Instant) -> OrderResult {
        let Ok(body) = serde_json::to_vec(&wire_order(order)) else {
            return OrderResult::NotSent;
        };
        let request = request(Method::POST, addr, "/v1/orders", Bytes::from(body));
        if Instant::now() >= not_after {
            return OrderResult::NotSent;
        }
        let Exchange {
            response, lease, ..
        } = match self.connections.send(addr, request, not_after).await {
            Ok(exchange) => exchange,
            Err(SendError::NotSent(_)) => return OrderResult::NotSent,
            Err(SendError::Sent(_)) => return OrderResult::Unanswered,
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
        let Ok(body) = body.collect().await else {
            return OrderResult::Unanswered;
        };
        lease.release().await;
        order_result(status, &body.to_bytes())
    }
}

fn order_result(status: StatusCode, body: &[u8]) -> OrderResult {
    match (status, serde_json::from_slice::<OrderReply>(body)) {
        (StatusCode::OK, Ok(reply)) if reply.applied => OrderResult::Applied {
            models: reply.models,
        },
        (StatusCode::CONFLICT, Ok(reply)) => OrderResult::Fenced {
            highest_fence: reply.highest_fence,
        },
        _ => OrderResult::Unanswered,
    }
}

fn wire_order(order: &Order) -> backend::Order {
    let model = order.model.clone();
    backend::Order {
        fence: order.fence,
        action: match order.kind {
            OrderKind::Load => OrderAction::Load { model },
            OrderKind::Unload => OrderAction::Unload { model },
        },
    }
}
