//! Runners: of stages, of models, of plain services.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::Json,
    world::{Inputs, Kept, Random, World},
};

/// What a runner of a service does.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Runs pieces, one call at a time.
    Stage { call_ms: u64, item_us: u64 },
    /// Streams events.
    Model {
        first_ms: u64,
        events: u32,
        gap_ms: u64,
    },
    /// Responds after some time.
    Plain { work_ms: u64 },
}

/// Calls that a stage runner runs and queues.
const STAGE_PLACES: u32 = 1 + 2;
/// Interval between two checks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which a result is kept after its call.
const HANDLE_TIME: Duration = Duration::from_secs(4);

/// A runner on loopback.
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    pub service: String,
    pub zone: String,
    work: Work,
    world: Arc<World>,
    slot: Mutex<()>,
    places_taken: AtomicU32,
    results: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
    /// Whether it sends second answers.
    pub is_garbling: AtomicBool,
    /// Share of its answers that are sent a second time meanwhile.
    garbled_share: f64,
    random: Mutex<Random>,
}

impl Runner {
    pub fn start(
        world: &Arc<World>,
        id: String,
        service: &str,
        zone: &str,
        work: Work,
        seed: u64,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Arc::new(Self {
            addr: listener.local_addr()?,
            id,
            service: service.to_owned(),
            zone: zone.to_owned(),
            work,
            world: Arc::clone(world),
            slot: Mutex::default(),
            places_taken: AtomicU32::new(0),
            results: AtomicU64::new(0),
            connections: Mutex::default(),
            is_down: AtomicBool::new(false),
            is_garbling: AtomicBool::new(false),
            garbled_share: 0.03,
            random: Mutex::new(Random::new(seed)),
        });
        listener.set_nonblocking(true)?;
        let serving = Arc::clone(&runner);
        thread::spawn(move || serving.accept(&listener));
        Ok(runner)
    }

    /// Accepts connections until the runner is down; the address refuses them from then on.
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.is_down() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let Ok(kept) = stream
                .set_nonblocking(false)
                .and_then(|()| stream.try_clone())
            else {
                continue;
            };
            self.connections.lock().expect("connections").push(kept);
            let runner = Arc::clone(self);
            thread::spawn(move || runner.serve(stream));
        }
    }

    /// Ends the runner at once, as a crash of its process does.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("connections").drain(..) {
            // Errors mean that the connection is closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Returns its entry in the platform's store.
    pub fn entry(&self, beat: u64) -> String {
        let slots = match self.work {
            Work::Stage { .. } => 1,
            Work::Model { .. } => 64,
            Work::Plain { .. } => 6,
        };
        format!(
            "{{\"Service\":\"{}\",\"Addr\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\"SeqNum\":{beat}}}",
            self.service, self.addr, self.zone,
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // A second answer that is sent where the answer to the next request is expected.
        let mut second_answer: Option<Vec<u8>> = None;
        while let Some(request) = http::read(&mut reader)? {
            if let Some(second) = second_answer.take() {
                self.world.count("second answers sent by stage runners");
                self.world
                    .note(format!("{} sends an answer a second time", self.id));
                writer.write_all(&second)?;
            }
            if request
                .header("expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                let headers = [("Instance-Id", self.id.as_str())];
                writer.write_all(&http::response("421 Misdirected Request", &headers, b""))?;
                continue;
            }
            match self.work {
                Work::Stage { call_ms, item_us } => {
                    let answer = self.run_call(&request, call_ms, item_us);
                    writer.write_all(&answer)?;
                    let is_run = request.path() == "/savoryvane/stage-run";
                    if is_run && self.is_garbling.load(Ordering::Relaxed) {
                        let share = self.random.lock().expect("random").share();
                        second_answer = (share < self.garbled_share).then_some(answer);
                    }
                }
                Work::Model {
                    first_ms,
                    events,
                    gap_ms,
                } => {
                    self.run_model(&request, &mut writer, first_ms, events, gap_ms)?;
                }
                Work::Plain { work_ms } => self.run_plain(&request, &mut writer, work_ms)?,
            }
        }
        Ok(())
    }

    fn run_call(&self, request: &Message, call_ms: u64, item_us: u64) -> Vec<u8> {
        let body = std::str::from_utf8(&request.body)
            .ok()
            .and_then(Json::parse);
        let json = [("Content-Type", "application/json")];
        if request.path() == "/savoryvane/stage-free" {
            let handles = body.as_ref().and_then(|body| body.get("Handles")?.list());
            for handle in handles.unwrap_or_default().iter().filter_map(Json::text) {
                self.world.free(handle);
            }
            return http::response("200 OK", &json, b"{}");
        }
        let items = body.as_ref().and_then(|body| body.get("Items")?.list());
        let Some(items) = items else {
            return http::response("400 Bad Request", &[], b"");
        };
        if self.places_taken.fetch_add(1, Ordering::SeqCst) >= STAGE_PLACES {
            self.places_taken.fetch_sub(1, Ordering::SeqCst);
            self.world.count("calls of stages rejected as full");
            return http::response("503 Service Unavailable", &[("Not-Run", "1")], b"");
        }
        let arrived = Instant::now();
        let slot = self.slot.lock().expect("slot");
        let waited_ms = arrived.elapsed().as_millis() as f64;
        let outcomes: Vec<String> = items
            .iter()
            .map(|item| {
                self.run_item(item, waited_ms)
                    .unwrap_or_else(|reason| reason)
            })
            .collect();
        thread::sleep(Duration::from_millis(call_ms));
        thread::sleep(Duration::from_micros(item_us * items.len() as u64));
        for outcome in &outcomes {
            if let Some(handle) = outcome.strip_prefix("{\"Handle\":\"") {
                let handle = handle.trim_end_matches("\"}");
                self.world.keep_until(handle, Instant::now() + HANDLE_TIME);
            }
        }
        drop(slot);
        self.places_taken.fetch_sub(1, Ordering::SeqCst);
        self.world.count("calls of stages run");
        let body = format!("{{\"Items\":[{}]}}", outcomes.join(","));
        let mut headers = vec![
            ("Content-Type", "application/json"),
            ("Instance-Load", "0,0,1"),
        ];
        // Runners echo the identifier of a request; calls of stages need not have one.
        headers.extend(request.header("request-id").map(|id| ("Request-Id", id)));
        http::response("200 OK", &headers, body.as_bytes())
    }

    /// Runs one item; returns its outcome, or the reason why it has no result.
    fn run_item(&self, item: &Json, waited_ms: f64) -> Result<String, String> {
        let reason = |reason: &str| format!("{{\"Reason\":\"{reason}\"}}");
        let text = |name: &str| item.get(name).and_then(Json::text);
        let number = |name: &str| item.get(name).and_then(Json::number);
        let id = text("Id").ok_or_else(|| reason("error"))?;
        let stage = number("Stage").ok_or_else(|| reason("error"))? as usize;
        let piece = number("Piece").ok_or_else(|| reason("error"))? as u32;
        if number("LeftMs").is_some_and(|left_ms| left_ms < waited_ms) {
            return Err(reason("late"));
        }
        let after = self.world.after(id, stage).ok_or_else(|| {
            let unasked = format!("a piece of request {id}, stage {stage}");
            self.world.on_break("UNASKED", unasked);
            reason("error")
        })?;
        if !after.is_empty() {
            let inputs = item.get("Inputs").and_then(Json::list).unwrap_or_default();
            let inputs: Vec<String> = inputs
                .iter()
                .filter_map(|input| input.text().map(str::to_owned))
                .collect();
            let of = format!("{} runs stage {stage} piece {piece}", self.id);
            if self.world.check_inputs(id, &after, &inputs, &of) == Inputs::Gone {
                self.world.count("pieces whose input was gone");
                return Err(reason("gone"));
            }
        }
        let number = self.results.fetch_add(1, Ordering::Relaxed);
        let handle = format!("{}/{:x}{:06x}", self.addr, self.addr.port(), number);
        let kept = Kept {
            request: id.to_owned(),
            stage,
            piece,
            until: Instant::now() + Duration::from_secs(60),
        };
        self.world.keep(&handle, kept);
        self.world.count("pieces run");
        Ok(format!("{{\"Handle\":\"{handle}\"}}"))
    }

    fn run_model(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        first_ms: u64,
        events: u32,
        gap_ms: u64,
    ) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let last_stages = self.world.last_stages(&id).unwrap_or_default();
        if !last_stages.is_empty() {
            let inputs = request.header("inputs").unwrap_or_default();
            let inputs: Vec<String> = inputs
                .split(',')
                .map(|handle| handle.trim().to_owned())
                .filter(|handle| !handle.is_empty())
                .collect();
            let not_run = [("Not-Run", "1"), ("Request-Id", id.as_str())];
            if inputs.is_empty() {
                return writer.write_all(&http::response("400 Bad Request", &not_run, b""));
            }
            let of = format!("{} is sent the inputs", self.id);
            if self.world.check_inputs(&id, &last_stages, &inputs, &of) == Inputs::Gone {
                self.world.count("requests whose input was gone");
                return writer.write_all(&http::response("409 Conflict", &not_run, b""));
            }
        }
        self.world.count("requests run by model runners");
        self.world.note(format!("{} gets request {id}", self.id));
        self.world.on_model_gets(&id);
        thread::sleep(Duration::from_millis(first_ms));
        let from: u32 = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Request-Id: {id}\r\nServer-Seal: seal-{}-{id}\r\nInstance-Load: 1,0,64\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for number in from + 1..=events {
            let event = format!("id: {number}\ndata: {id} {number} of {events}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(gap_ms));
        }
        writer.write_all(b"0\r\n\r\n")
    }

    fn run_plain(&self, request: &Message, writer: &mut TcpStream, work_ms: u64) -> io::Result<()> {
        let id = request.header("request-id").unwrap_or_default();
        let tenant = request.header("tenant").unwrap_or("none");
        self.world.count("requests run by plain runners");
        self.world
            .note(format!("{} runs request {id}, tenant {tenant}", self.id));
        self.world.on_run(id, tenant);
        thread::sleep(Duration::from_millis(work_ms));
        let seal = format!("seal-{}-{id}", self.id);
        let headers = [
            ("Request-Id", id),
            ("Server-Seal", seal.as_str()),
            ("Instance-Load", "1,0,6"),
        ];
        writer.write_all(&http::response("200 OK", &headers, b"done"))
    }
}
