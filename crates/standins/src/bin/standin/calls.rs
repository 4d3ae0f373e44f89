//! The subcommands that play a caller.

use savoryvane_standins::{
    Ask, Asked, Caller, CallerSettings, Error, LoadSettings, RanCall, Result, Step, Verdict,
    Warrant, Warrants,
    client::{self, Version},
    ran_more_than_once, run_load, usage_table,
};

use crate::{cli, kinds};

/// Time given to a request when none is named, in ms.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Requests a second when no rate is named.
const DEFAULT_RATE_PER_S: u32 = 20;

/// Duration of a load when none is named, in ms.
const DEFAULT_DURATION_MS: u64 = 5000;

/// Connections over HTTP/2 when no number is named.
const DEFAULT_CONNECTIONS: usize = 4;

/// Puts a load on and prints its report.
pub(crate) async fn load(flags: cli::Load) -> Result<()> {
    let report = run_load(LoadSettings {
        caller: CallerSettings {
            addr: flags.addr,
            version: version(flags.http2),
            workspace: flags.workspace,
            credential: flags.credential,
            pipeline: flags.pipeline,
            steps: parse_steps(&flags.steps)?,
            deadline_ms: flags.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
        },
        rate_per_s: flags.rate.unwrap_or(DEFAULT_RATE_PER_S),
        duration_ms: flags.duration_ms.unwrap_or(DEFAULT_DURATION_MS),
        streamed_per_mille: flags.streamed_per_mille.unwrap_or(0),
        connections: flags.connections.unwrap_or(DEFAULT_CONNECTIONS),
        warrants: match (flags.with_keys, flags.with_tickets) {
            (true, _) => Warrants::Keys,
            (false, true) => Warrants::Tickets,
            (false, false) => Warrants::None,
        },
        seed: flags.seed.unwrap_or(1),
    })
    .await;
    print!("{report}");
    if report.is_good(flags.allow_refusals) {
        return Ok(());
    }
    Err(Error::Argument(
        "not every answer was whole and right".to_owned(),
    ))
}

/// Sends one request and prints its answer.
pub(crate) async fn ask(flags: cli::Ask) -> Result<()> {
    let caller = Caller::new(CallerSettings {
        addr: flags.addr,
        version: version(flags.http2),
        workspace: flags.workspace,
        credential: flags.credential,
        pipeline: flags.pipeline,
        steps: parse_steps(&flags.steps)?,
        deadline_ms: flags.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
    });
    let asked = caller
        .ask(&Ask {
            request_id: flags.request_id,
            input: serde_json::from_str(&flags.input)?,
            streamed: flags.stream,
            warrant: match flags.key {
                Some(key) => Warrant::Key(key),
                None if flags.ticket => Warrant::Ticket,
                None => Warrant::None,
            },
        })
        .await;
    print_asked(&asked)?;
    match asked.verdict {
        Verdict::Right => Ok(()),
        Verdict::Refused(outcome) => Err(Error::Argument(format!("outcome {outcome}"))),
        Verdict::Wrong(what) => Err(Error::Argument(format!("wrong answer: {what}"))),
        Verdict::NoAnswer(why) => Err(Error::Argument(format!("no whole answer: {why}"))),
    }
}

/// Prints the calls that ran.
pub(crate) async fn ran(flags: cli::Ran) -> Result<()> {
    let mut calls: Vec<RanCall> = Vec::new();
    for addr in flags.at {
        calls.append(&mut client::get_json(addr, "/v1/ran").await?);
    }
    for call in &calls {
        let state = serde_json::to_string(&call.state)?;
        let id = &call.id;
        println!("ran {} {} {} {state}", id.request, id.stage, call.input);
    }
    let doubled = ran_more_than_once(&calls);
    match doubled.first() {
        None => Ok(()),
        Some((what, count)) => Err(Error::Argument(format!("{what} ran {count} times"))),
    }
}

fn print_asked(asked: &Asked) -> Result<()> {
    let Some(answer) = &asked.answer else {
        return Ok(());
    };
    println!(
        "request {} {} by {} in {}.{:03} ms, {} tokens streamed",
        answer.request_id,
        answer.outcome,
        asked.instance.as_deref().unwrap_or("-"),
        asked.latency_us / 1000,
        asked.latency_us % 1000,
        asked.tokens,
    );
    if let Some(reason) = &answer.reason {
        println!("reason: {reason}");
    }
    if let Some(output) = &answer.output {
        println!("output: {}", serde_json::to_string(output)?);
    }
    print!("{}", usage_table(&answer.stages));
    Ok(())
}

fn version(http2: bool) -> Version {
    if http2 {
        Version::Http2
    } else {
        Version::Http1
    }
}

fn parse_steps(kinds: &str) -> Result<Vec<Step>> {
    kinds.split(',').map(parse_step).collect()
}

fn parse_step(text: &str) -> Result<Step> {
    let unknown = || {
        Error::Argument(format!(
            "--steps {text}: must be encode, retrieve, rerank, generate or call, \
             with the most tokens after a colon"
        ))
    };
    let (kind, max_tokens) = match text.split_once(':') {
        Some((kind, tokens)) => (kind, tokens.parse().map_err(|_| unknown())?),
        None => (text, 0),
    };
    let kind = kinds::parse(kind).ok_or_else(unknown)?;
    Ok(Step { kind, max_tokens })
}
