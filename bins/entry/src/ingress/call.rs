//! Admitted requests of callers, and error responses issued by the entry.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dispatch::{AllowedRegions, Config, Placement, RequestContext, RequestKind};
use hyper::Uri;
use node::http::{Body, HeaderMap, Method, Request, Response, StatusCode, header, response};
use platform::request::{Caller, Instructions};

/// Timeout of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a caller may retry while the entry has not read what it needs to route requests.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request admitted by the configuration.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) caller: Caller,
    /// Name of the route that admitted it.
    pub(super) route: String,
    pub(super) service: String,
    pub(super) kind: RequestKind,
    pub(super) objective: Duration,
    pub(super) max_event_gap: Duration,
    pub(super) arrived: Instant,
    /// Time that the caller spent on earlier attempts.
    prior_wait: Duration,
    pub(super) deadline: Instant,
    attempts: u32,
    priority: u8,
    allowed_regions: Option<Rc<AllowedRegions>>,
    workspace: Option<Rc<str>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Whether it was sent to a target, which may have run it.
    pub(super) sent: Cell<bool>,
}

/// An error response that the entry issues itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<Duration>,
}

impl Call {
    /// Checks a request against the configuration, or refuses it for the reason why there is none; `random`, from 0 to 1,
    /// selects among weighted services.
    ///
    /// # Errors
    ///
    /// Returns the request's id, or an empty string if its headers are malformed, and the refusal.
    pub(super) fn admit(
        request: Request<Bytes>,
        config: Result<&Config, &'static str>,
        now: Instant,
        random: f64,
    ) -> Result<Self, (String, Refusal)> {
        let (parts, body) = request.into_parts();
        let caller = platform::request::parse(&parts.headers).map_err(|reason| {
            let refusal = Refusal::new(StatusCode::BAD_REQUEST, reason);
            (String::new(), refusal)
        })?;
        let refuse = |refusal| (caller.id.clone(), refusal);
        let config = config
            .map_err(|reason| refuse(Refusal::unavailable(reason, UNCONFIGURED_RETRY_AFTER)))?;
        let host = parts
            .headers
            .get(header::HOST)
            .and_then(|host| host.to_str().ok())
            .or(parts.uri.host())
            .unwrap_or_default();
        let not_found = || refuse(Refusal::new(StatusCode::NOT_FOUND, "no-route"));
        let route = config.route(host, parts.uri.path()).ok_or_else(not_found)?;
        let tenant =
            match config.has_tenants() && !route.anonymous {
                true => {
                    let tenant = caller.key.as_deref().and_then(|key| config.tenant(key));
                    Some(tenant.ok_or_else(|| {
                        refuse(Refusal::new(StatusCode::UNAUTHORIZED, "unknown-key"))
                    })?)
                }
                false => None,
            };
        let service = route.pick_backend(random).ok_or_else(not_found)?;
        let timeout = caller.deadline.unwrap_or(DEFAULT_TIMEOUT);
        let uri = parts
            .uri
            .into_parts()
            .path_and_query
            .map_or_else(|| Uri::from_static("/"), Uri::from);
        Ok(Self {
            route: route.name.clone(),
            service: service.into(),
            kind: route.kind,
            objective: route.objective,
            max_event_gap: route.max_event_gap.unwrap_or(route.objective),
            arrived: now,
            // The route's timeout covers all attempts of a caller, so a caller that retries has less of it left.
            prior_wait: route.timeout.saturating_sub(timeout),
            deadline: now + timeout.min(route.timeout),
            attempts: route.max_attempts,
            priority: tenant
                .and_then(|tenant| tenant.priority)
                .unwrap_or(route.priority),
            allowed_regions: AllowedRegions::intersect(
                route.allowed_regions.as_ref(),
                tenant.and_then(|tenant| tenant.allowed_regions.as_ref()),
            ),
            workspace: tenant.map(|tenant| Rc::from(&*tenant.name)),
            method: parts.method,
            uri,
            headers: parts.headers,
            body,
            sent: Cell::new(false),
            caller,
        })
    }

    /// Returns whether the response is a stream of events.
    pub(super) fn is_stream(&self) -> bool {
        matches!(self.kind, RequestKind::Streaming { .. })
    }

    /// Returns the request's description for the scheduler.
    pub(super) fn work(&self) -> RequestContext {
        RequestContext {
            id: self.caller.id.clone(),
            service: self.service.clone(),
            kind: self.kind,
            priority: self.priority,
            workspace: self.workspace.clone(),
            arrived: self.arrived,
            prior_wait: self.prior_wait,
            objective: self.objective,
            deadline: self.deadline,
            prompt_tokens: self.caller.prompt,
            prompt: self.caller.prompt_parts.clone(),
            output_tokens: self.caller.output,
            model: self.caller.model.clone(),
            weights_version: None,
            allowed_regions: self.allowed_regions.clone(),
            attempts_left: self.attempts,
            broken_attempts: 0,
            tried_targets: Vec::new(),
        }
    }

    /// Returns the request to send to the target of `place`; `last_event` is the last event that the caller received.
    pub(super) fn target_request(
        &self,
        place: &Placement,
        last_event: Option<u64>,
    ) -> Request<Body> {
        let instructions = Instructions {
            target: &place.target,
            left: self.deadline.saturating_duration_since(Instant::now()),
            workspace: self.workspace.as_deref(),
            priority: place.target_priority,
            version: place.work.weights_version,
            last_event,
        };
        let mut request = Request::new(Body::from(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = platform::request::target_headers(&self.headers, &instructions);
        request
    }
}

impl Refusal {
    pub(super) fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Returns the refusal of a request that did not run and may be retried after `retry_after`.
    pub(super) fn unavailable(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the response to the request `id`.
    pub(super) fn response(&self, id: &str) -> Response<Body> {
        let mut response = response(self.status, format!("{}\n", self.reason));
        response
            .headers_mut()
            .extend(platform::response::local_headers(id, self.retry_after));
        response
    }
}
