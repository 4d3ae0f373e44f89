//! Executes commands.

use std::io::{BufRead, IsTerminal, Write};

use http::StatusCode;
use savoryvane_core::ids::{InstanceName, Offset};
use savoryvane_wire::admin::{Confirmation, Plan, Reach, Status};
use serde::Serialize;

use crate::{
    admin::{self, Admin},
    collected_costs::{self, CollectedCosts},
    command::{Command, ConfirmArgs, CostsArgs, ObjectList, PlanArgs, ReportForm},
    confirm,
    costs::Report,
    error::{Error, Result},
    file, intent, plan, report,
    settings::{Format, Settings},
    view,
};

/// Executes commands and writes results to `out` and additional messages for the
/// operator to `notes`.
pub struct Controller<'a> {
    settings: &'a Settings,
    out: &'a mut dyn Write,
    notes: &'a mut dyn Write,
}

impl<'a> Controller<'a> {
    /// Creates a controller with `settings`.
    pub fn new(settings: &'a Settings, out: &'a mut dyn Write, notes: &'a mut dyn Write) -> Self {
        Self {
            settings,
            out,
            notes,
        }
    }

    /// Executes `command`.
    ///
    /// # Errors
    ///
    /// Returns an error when the command fails or only a part of it succeeds.
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
            Command::Plan(args) => self.plan(args).await,
            Command::Confirm(args) => self.confirm(args).await,
            Command::History => {
                let entries = self.admin().history().await?;
                self.show(&entries, || view::history(&entries))
            }
            Command::Costs(args) => self.costs(args).await,
            Command::Drain(instance) => self.drain(instance).await,
        }
    }

    async fn status(&mut self) -> Result<()> {
        let (statuses, failures) = admin::split_unreachable(self.admin().statuses().await)?;
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

    async fn plan(&mut self, args: &PlanArgs) -> Result<()> {
        let intent = intent::load(&args.intent)?;
        let plan = self.admin().plan(&intent, args.operator.as_ref()).await?;
        if let Some(path) = &args.output {
            plan::save(path, &plan)?;
        }
        self.show(&plan, || plan::render(&plan))?;
        match &args.output {
            Some(path) => self.note(&format!(
                "Nothing is in force yet. To put it in force: savoryvanectl confirm {}",
                path.display()
            )),
            None => self.note("Nothing is in force yet. To confirm it, plan again with -o PLAN."),
        }
    }

    async fn confirm(&mut self, args: &ConfirmArgs) -> Result<()> {
        let plan = plan::load(&args.plan)?;
        self.note(plan::render(&plan).trim_end())?;
        if !args.yes && std::io::stdin().is_terminal() {
            self.prompt(&plan)?;
        }
        let mut confirmation = confirm::confirm(self.settings, &plan).await?;
        confirmation.reach = confirm::await_reach(self.settings, &confirmation, args.wait_ms).await;
        self.show(&confirmation, || render_confirmation(&confirmation))?;
        if confirm::is_in_force_everywhere(&confirmation.reach) {
            Ok(())
        } else {
            let Confirmation { id, reach, .. } = confirmation;
            Err(Error::NotEverywhere(id, reach))
        }
    }

    fn prompt(&mut self, plan: &Plan) -> Result<()> {
        write!(self.notes, "Put {} in force? [y/N] ", plan.change.id)?;
        self.notes.flush()?;
        let mut answer = String::new();
        std::io::stdin().lock().read_line(&mut answer)?;
        match answer.trim() {
            "y" | "Y" | "yes" => Ok(()),
            _ => Err(Error::Declined),
        }
    }

    async fn costs(&mut self, args: &CostsArgs) -> Result<()> {
        let costs = collected_costs::collect(self.settings).await?;
        if !costs.unreachable.is_empty() && !args.partial {
            return Err(Error::Unreachable(costs.unreachable));
        }
        self.note_missing_instances(&costs)?;
        let report = Report::sum(&costs, args.grouping);
        let text = self.render_costs(args, &report);
        match &args.output {
            None => self.write(&text),
            Some(path) => {
                file::write(path, &text)?;
                self.note(&format!("report written to {}", path.display()))
            }
        }
    }

    fn note_missing_instances(&mut self, costs: &CollectedCosts) -> Result<()> {
        if !costs.unreachable.is_empty() {
            let addrs = costs.unreachable.iter().map(|(addr, _)| addr.to_string());
            let addrs = addrs.collect::<Vec<_>>().join(", ");
            self.note(&format!("The report is partial: no answer from {addrs}."))?;
        }
        if !costs.not_asked.is_empty() {
            let names = costs.not_asked.iter().map(|name| name.as_str());
            let names = names.collect::<Vec<_>>().join(", ");
            self.note(&format!(
                "Not asked, so not in the sums: {names}. Add their addresses to --admin."
            ))?;
        }
        Ok(())
    }

    fn render_costs(&self, args: &CostsArgs, report: &Report) -> String {
        match (args.form, self.settings.format) {
            (ReportForm::Csv, _) => report::csv(report),
            (ReportForm::AsFormat, Format::Json) => to_pretty_json(report),
            (ReportForm::AsFormat, Format::Human) => report::table(report, args.grouping),
        }
    }

    async fn drain(&mut self, instance: &InstanceName) -> Result<()> {
        let mut failures = Vec::new();
        let mut unknown_result = None;
        for &addr in &self.settings.admins {
            match self.admin().drain(addr, instance).await {
                Ok(()) => return self.show_drained(instance),
                // The address belongs to another instance.
                Err(Error::Refused(_, StatusCode::CONFLICT, _)) => {}
                Err(Error::Unreachable(failure)) => failures.extend(failure),
                Err(err @ Error::DrainUnknown(..)) => unknown_result = Some(err),
                Err(err) => return Err(err),
            }
        }
        if let Some(err) = unknown_result {
            return Err(err);
        }
        Err(if failures.is_empty() {
            Error::NotFound(instance.clone())
        } else {
            Error::Unreachable(failures)
        })
    }

    fn show_drained(&mut self, instance: &InstanceName) -> Result<()> {
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
            Format::Json => to_pretty_json(value),
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

fn render_confirmation(confirmation: &Confirmation) -> String {
    let Confirmation { id, offset, reach } = confirmation;
    let (offset, reach): (&Offset, &Reach) = (offset, reach);
    format!(
        "change {id} accepted at offset {offset}; {}\n",
        view::reach(reach)
    )
}

fn to_pretty_json<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).expect("results have string keys only");
    text.push('\n');
    text
}
