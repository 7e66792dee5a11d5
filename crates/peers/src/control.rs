//! The HTTP control listener: `GET /status` and `POST /rollout`. Orders are not authenticated, hence only on
//! loopback.
use crate::event_loop::Input;
use cherrypass::ids::LocationId;
use cherrypass::time::Span;
use cherrypass_fleet::rollout::{AfterHalt, Order, Plan, Version};
use crossbeam_channel::Sender;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};

/// Maximum size of an order: rules of 16 kB, six times as long in escaped JSON, and 1,024 location names of
/// 64 bytes.
const MAX_BODY_BYTES: u64 = 512 << 10;
/// Time limit for an answer from the event loop.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to the event loop.
pub enum ControlRequest {
    Status,
    Order(Order),
}
/// HTTP status and body.
pub type Answer = (u16, String);

#[derive(Deserialize)]
#[serde(tag = "order", rename_all = "lowercase", deny_unknown_fields)]
enum OrderBody {
    Start { number: u64, text: String, plan: PlanBody },
    Halt,
    Resume,
    Back,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanBody {
    order: Vec<LocationRef>,
    /// Per mille of the first location.
    first: u16,
    hold_s: f64,
    visits: u64,
    #[serde(default)]
    back_after_halt: bool,
}

/// A location given by name or by number.
#[derive(Deserialize)]
#[serde(untagged)]
enum LocationRef {
    Name(String),
    Number(u16),
}

/// Parses an order. The error is one line of text.
pub fn parse_order(body: &[u8], locations: &BTreeMap<String, LocationId>) -> Result<Order, String> {
    let body: OrderBody =
        serde_json::from_slice(body).map_err(|error| format!("the order can't be read: {error}"))?;
    let (number, text, plan) = match body {
        OrderBody::Start { number, text, plan } => (number, text, plan),
        OrderBody::Halt => return Ok(Order::Halt),
        OrderBody::Resume => return Ok(Order::Resume),
        OrderBody::Back => return Ok(Order::Back),
    };
    let location = |location| match location {
        LocationRef::Number(number) => Ok(LocationId(number)),
        LocationRef::Name(name) => locations.get(&name).copied().ok_or_else(|| {
            format!(
                "plan.order: unknown location {name:?}; the locations of the fleet are {:?}",
                locations.keys()
            )
        }),
    };
    let order = plan.order.into_iter().map(location).collect::<Result<_, _>>()?;
    let after_halt = if plan.back_after_halt { AfterHalt::Back } else { AfterHalt::Stay };
    let hold = Span::seconds(plan.hold_s.min(1e9));
    let plan = Plan { order, first: plan.first, hold, visits: plan.visits, after_halt };
    Ok(Order::Start(Version { number, text, plan }))
}

fn answer(request: &mut Request, to: &Sender<Input>, locations: &BTreeMap<String, LocationId>) -> Answer {
    let control_request = match (request.method(), request.url()) {
        (Method::Get, "/status") => ControlRequest::Status,
        (Method::Post, "/rollout") => {
            let mut body = Vec::new();
            if let Err(error) = request.as_reader().take(MAX_BODY_BYTES + 1).read_to_end(&mut body) {
                return (400, format!("the order can't be read: {error}\n"));
            }
            if body.len() as u64 > MAX_BODY_BYTES {
                return (400, format!("the order exceeds {MAX_BODY_BYTES} bytes\n"));
            }
            match parse_order(&body, locations) {
                Ok(order) => ControlRequest::Order(order),
                Err(why) => return (400, format!("{why}\n")),
            }
        }
        _ => return (404, "not found; use GET /status or POST /rollout\n".to_owned()),
    };
    let (answers, answer) = crossbeam_channel::bounded(1);
    if to.send(Input::Control(control_request, answers)).is_err() {
        return (503, "the fleet has stopped\n".to_owned());
    }
    answer
        .recv_timeout(ANSWER_TIMEOUT)
        .unwrap_or_else(|_| (503, "the fleet's event loop did not answer in time\n".to_owned()))
}

/// Answers requests one by one until the server is unblocked.
pub fn serve(server: Arc<Server>, to: Sender<Input>, locations: BTreeMap<String, LocationId>) {
    for mut request in server.incoming_requests() {
        let (status, body) = answer(&mut request, &to, &locations);
        let content_type = if status == 200 { "application/json" } else { "text/plain" };
        let header = Header::from_bytes("Content-Type", content_type).ok();
        let response = Response::from_string(body).with_status_code(status);
        let response = header.into_iter().fold(response, |response, header| response.with_header(header));
        let _ = request.respond(response);
    }
}
