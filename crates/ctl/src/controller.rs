//! Carries out commands.

use std::io::{BufRead, IsTerminal, Write};

use http::StatusCode;
use savoryvane_core::ids::{InstanceName, Offset};
use savoryvane_wire::admin::{Confirmation, Plan, Reach, Status};
use serde::Serialize;

use crate::{
    admin::{self, Admin},
    books::{self, Books},
    command::{Command, Confirmed, Costs, ObjectList, Planned, ReportForm},
    confirm,
    costs::Report,
    error::{Error, Result},
    file, intent, plan, report,
    settings::{Format, Settings},
    view,
};

/// Carries out one command and writes what it found to `out`, and what the
/// operator should know beside that to `notes`.
pub struct Controller<'a> {
    settings: &'a Settings,
    out: &'a mut dyn Write,
    notes: &'a mut dyn Write,
}

impl<'a> Controller<'a> {
    /// Prepares to carry out commands as `settings` say.
    pub fn new(settings: &'a Settings, out: &'a mut dyn Write, notes: &'a mut dyn Write) -> Self {
        Self {
            settings,
            out,
            notes,
        }
    }

    /// Carries out `command`.
    ///
    /// # Errors
    ///
    /// Returns why it was not, or not wholly, carried out.
    pub async fn run(&mut self, command: &Command) -> Result<()> {
        match command {
            Command::Status => self.status().await,
            Command::Instances => {
                let views = self.admin().instances().await?;
                self.show(&views, || view::instances(&views))
            }
            Command::Backends => {
                let views = self.admin().backends().await?;
                self.show(&views, || view::backends(&views))
            }
            Command::Objects(list) => self.objects(*list).await,
            Command::Plan(planned) => self.plan(planned).await,
            Command::Confirm(confirmed) => self.confirm(confirmed).await,
            Command::History => {
                let entries = self.admin().history().await?;
                self.show(&entries, || view::history(&entries))
            }
            Command::Costs(costs) => self.costs(costs).await,
            Command::Drain(instance) => self.drain(instance).await,
        }
    }

    async fn status(&mut self) -> Result<()> {
        let (statuses, failures) = admin::split(self.admin().statuses().await)?;
        let listed: Vec<&Status> = statuses.iter().map(|(_, status)| status).collect();
        if !listed.is_empty() {
            self.show(&listed, || view::statuses(&statuses))?;
        }
        if failures.is_empty() {
            Ok(())
        } else {
            Err(Error::Unreachable(failures))
        }
    }

    async fn objects(&mut self, list: ObjectList) -> Result<()> {
        let objects = self.admin().objects().await?;
        let listed: Vec<_> = objects
            .iter()
            .filter(|object| view::is_listed(list, object))
            .collect();
        self.show(&listed, || view::objects(list, &objects))
    }

    async fn plan(&mut self, planned: &Planned) -> Result<()> {
        let intent = intent::load(&planned.intent)?;
        let plan = self
            .admin()
            .plan(&intent, planned.operator.as_ref())
            .await?;
        if let Some(path) = &planned.output {
            plan::save(path, &plan)?;
        }
        self.show(&plan, || plan::render(&plan))?;
        match &planned.output {
            Some(path) => self.note(&format!(
                "Nothing is in force yet. To put it in force: savoryvanectl confirm {}",
                path.display()
            )),
            None => self.note("Nothing is in force yet. To confirm it, plan again with -o PLAN."),
        }
    }

    async fn confirm(&mut self, confirmed: &Confirmed) -> Result<()> {
        let plan = plan::load(&confirmed.plan)?;
        self.note(plan::render(&plan).trim_end())?;
        if !confirmed.yes && std::io::stdin().is_terminal() {
            self.ask(&plan)?;
        }
        let mut confirmation = confirm::confirm(self.settings, &plan).await?;
        confirmation.reach =
            confirm::await_reach(self.settings, &confirmation, confirmed.wait_ms).await;
        self.show(&confirmation, || accepted(&confirmation))?;
        if confirm::is_everywhere(&confirmation.reach) {
            Ok(())
        } else {
            let Confirmation { id, reach, .. } = confirmation;
            Err(Error::NotEverywhere(id, reach))
        }
    }

    fn ask(&mut self, plan: &Plan) -> Result<()> {
        write!(self.notes, "Put {} in force? [y/N] ", plan.change.id)?;
        self.notes.flush()?;
        let mut answer = String::new();
        std::io::stdin().lock().read_line(&mut answer)?;
        match answer.trim() {
            "y" | "Y" | "yes" => Ok(()),
            _ => Err(Error::Declined),
        }
    }

    async fn costs(&mut self, costs: &Costs) -> Result<()> {
        let books = books::collect(self.settings).await?;
        if !books.unreachable.is_empty() && !costs.partial {
            return Err(Error::Unreachable(books.unreachable));
        }
        self.note_missing(&books)?;
        let report = Report::sum(&books, costs.grouping);
        let text = self.render_costs(costs, &report);
        match &costs.output {
            None => self.write(&text),
            Some(path) => {
                file::write(path, &text)?;
                self.note(&format!("report written to {}", path.display()))
            }
        }
    }

    fn note_missing(&mut self, books: &Books) -> Result<()> {
        if !books.unreachable.is_empty() {
            let addrs = books.unreachable.iter().map(|(addr, _)| addr.to_string());
            let addrs = addrs.collect::<Vec<_>>().join(", ");
            self.note(&format!("The report is partial: no answer from {addrs}."))?;
        }
        if !books.not_asked.is_empty() {
            let names = books.not_asked.iter().map(|name| name.as_str());
            let names = names.collect::<Vec<_>>().join(", ");
            self.note(&format!(
                "Not asked, so not in the sums: {names}. Add their addresses to --admin."
            ))?;
        }
        Ok(())
    }

    fn render_costs(&self, costs: &Costs, report: &Report) -> String {
        match (costs.form, self.settings.format) {
            (ReportForm::Csv, _) => report::csv(report),
            (ReportForm::AsFormat, Format::Json) => pretty(report),
            (ReportForm::AsFormat, Format::Human) => report::table(report, costs.grouping),
        }
    }

    async fn drain(&mut self, instance: &InstanceName) -> Result<()> {
        let mut failures = Vec::new();
        let mut doubt = None;
        for &addr in &self.settings.admins {
            match self.admin().drain(addr, instance).await {
                Ok(()) => return self.drained(instance),
                // Another instance answers there.
                Err(Error::Refused(_, StatusCode::CONFLICT, _)) => {}
                Err(Error::Unreachable(failure)) => failures.extend(failure),
                Err(err @ Error::DrainUnknown(..)) => doubt = Some(err),
                Err(err) => return Err(err),
            }
        }
        if let Some(err) = doubt {
            return Err(err);
        }
        Err(if failures.is_empty() {
            Error::NotFound(instance.clone())
        } else {
            Error::Unreachable(failures)
        })
    }

    fn drained(&mut self, instance: &InstanceName) -> Result<()> {
        let drain = savoryvane_wire::admin::Drain {
            instance: instance.clone(),
        };
        self.show(&drain, || {
            format!("{instance} is leaving: it finishes the requests in flight and exits\n")
        })
    }

    fn admin(&self) -> Admin<'a> {
        Admin::new(self.settings)
    }

    fn show<T: Serialize>(&mut self, value: &T, human: impl FnOnce() -> String) -> Result<()> {
        let text = match self.settings.format {
            Format::Human => human(),
            Format::Json => pretty(value),
        };
        self.write(&text)
    }

    fn write(&mut self, text: &str) -> Result<()> {
        self.out.write_all(text.as_bytes())?;
        Ok(self.out.flush()?)
    }

    fn note(&mut self, text: &str) -> Result<()> {
        Ok(writeln!(self.notes, "{text}")?)
    }
}

fn accepted(confirmation: &Confirmation) -> String {
    let Confirmation { id, offset, reach } = confirmation;
    let (offset, reach): (&Offset, &Reach) = (offset, reach);
    format!(
        "change {id} accepted at offset {offset}; {}\n",
        view::reach(reach)
    )
}

fn pretty<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("results have string keys only");
    text.push('\n');
    text
}
