//! Tests orders of several placers to engines that check or ignore fencing
//! numbers, with placers frozen between their permit check and their order.

mod placement_world;
mod placer_world;

use placement_world::{Engines, Objects, ROUND_MS};
use placer_world::{INSTANCES, Op, World, seeded};
use quickcheck::{Arbitrary, Gen};
use savoryvane_core::{
    objects::Fencing,
    placement::{Order, OrderKind, OrderResult, PlacementSettings, Reconciler},
};

const MODELS: [(&str, u64, u32); 2] = [("chat", 2_000, 2), ("draft", 1_000, 1)];
const ENGINES: usize = 3;
const SIZE_MB: u64 = 2_000;

/// Placers with their reconcilers, and the orders that each has checked but not
/// sent yet.
struct OrderScenario {
    world: World,
    objects: Objects,
    engines: Engines,
    reconcilers: Vec<Reconciler>,
    checked: Vec<Vec<Order>>,
    /// Orders of a replaced placer that an engine applied.
    stale: Vec<Order>,
    newest_fence: u64,
}

impl OrderScenario {
    fn new(fencing: Fencing) -> Self {
        let objects = Objects::new(fencing, ENGINES, &MODELS);
        let settings = PlacementSettings::default();
        Self {
            world: World::new(),
            engines: Engines::new(&objects, settings),
            objects,
            reconcilers: vec![Reconciler::new(settings); INSTANCES],
            checked: vec![Vec::new(); INSTANCES],
            stale: Vec::new(),
            newest_fence: 0,
        }
    }

    /// Checks the permit of a placer and runs one reconciliation round.
    fn check(&mut self, instance: usize) {
        if self.world.nodes[instance].is_frozen {
            return;
        }
        let now_ms = self.world.local_ms(instance);
        let Some(permit) = self.world.nodes[instance].placer.permit(now_ms) else {
            return;
        };
        for report in self.engines.reports(self.world.now_ms) {
            self.reconcilers[instance].on_report(now_ms, &report);
        }
        let round = self.reconcilers[instance].round(now_ms, &self.objects.layout(), &permit);
        self.checked[instance].extend(round.orders);
    }

    /// Sends the checked orders; a frozen placer sends them after it has
    /// resumed.
    fn send(&mut self, instance: usize) {
        if self.world.nodes[instance].is_frozen {
            return;
        }
        for order in std::mem::take(&mut self.checked[instance]) {
            let result = self.engines.order(self.world.now_ms, &order, SIZE_MB);
            if matches!(result, OrderResult::Applied { .. }) && order.fence < self.newest_fence {
                self.stale.push(order.clone());
            }
            self.newest_fence = self.newest_fence.max(order.fence);
            let now_ms = self.world.local_ms(instance);
            self.reconcilers[instance].on_result(now_ms, &order, &result);
        }
    }

    fn run(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        while self.world.now_ms < end_ms {
            self.world.run(ROUND_MS);
            self.engines.advance(self.world.now_ms);
            for instance in 0..INSTANCES {
                self.check(instance);
                self.send(instance);
            }
        }
    }

    fn apply(&mut self, op: Op) {
        if let Op::Restart { instance } = op {
            self.checked[instance].clear();
            self.reconcilers[instance] = Reconciler::new(PlacementSettings::default());
        }
        self.world.apply(op);
    }

    fn replicas(&self) -> Vec<usize> {
        let names = MODELS.iter().map(|(name, ..)| *name);
        names.map(|name| self.engines.replicas(name)).collect()
    }

    fn has_all_replicas(&self) -> bool {
        let min_replicas = MODELS
            .iter()
            .map(|(_, _, min_replicas)| *min_replicas as usize);
        self.replicas()
            .into_iter()
            .zip(min_replicas)
            .all(|(found, min_replicas)| found >= min_replicas)
    }

    /// Adds a checked unload that the placer `instance` could have decided on under
    /// an earlier configuration.
    fn check_unload(&mut self, instance: usize, engine: usize, model: usize) {
        if self.world.nodes[instance].is_frozen {
            return;
        }
        let permit = self.world.nodes[instance]
            .placer
            .permit(self.world.local_ms(instance));
        // No unload is decided on before the engines have learned the fencing
        // number.
        if let Some(permit) = permit.filter(|permit| permit.fence == self.newest_fence) {
            self.checked[instance].push(Order {
                fence: permit.fence,
                backend: self.engines.engines[engine].name.as_str().into(),
                fencing: self.objects.pools[0].fencing,
                kind: OrderKind::Unload,
                model: MODELS[model].0.into(),
            });
        }
    }

    /// Freezes the placer with a checked but unsent unload of each replica
    /// until another one has been elected and has settled; then resumes it.
    fn resume_old_placer_with_unloads(&mut self) {
        self.run(60_000);
        assert!(self.has_all_replicas());
        let old = self.world.placers()[0];
        let fence = self.world.nodes[old].placer.own_term().unwrap().0;
        let fencing = self.objects.pools[0].fencing;
        let unload = |name: &str, model: &str| Order {
            fence,
            backend: name.into(),
            fencing,
            kind: OrderKind::Unload,
            model: model.into(),
        };
        for engine in &self.engines.engines {
            for (model, ..) in MODELS {
                self.checked[old].push(unload(&engine.name, model));
            }
        }
        self.world.apply(Op::Freeze { instance: old });
        self.run(90_000);
        assert!(self.has_all_replicas());
        let new = self.world.placers()[0];
        self.newest_fence = self.world.nodes[new].placer.own_term().unwrap().0;
        assert!(self.newest_fence > fence);
        self.world.apply(Op::Thaw { instance: old });
        self.send(old);
    }
}

#[test]
fn engines_that_check_refuse_a_woken_placer() {
    let mut scenario = OrderScenario::new(Fencing::Checked);
    scenario.resume_old_placer_with_unloads();
    assert_eq!(scenario.stale, []);
    assert!(scenario.has_all_replicas());
    scenario.run(60_000);
    assert!(scenario.has_all_replicas());
}

#[test]
fn engines_that_ignore_the_number_are_put_right_after_a_woken_placer() {
    let mut scenario = OrderScenario::new(Fencing::Ignored);
    scenario.resume_old_placer_with_unloads();
    assert_eq!(scenario.stale.len(), ENGINES * MODELS.len());
    assert_eq!(
        scenario.replicas(),
        [0, 0],
        "stale unloads still reach them"
    );
    scenario.run(60_000);
    assert!(scenario.has_all_replicas());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Placer(Op),
    Check {
        instance: usize,
    },
    CheckUnload {
        instance: usize,
        engine: usize,
        model: usize,
    },
    Send {
        instance: usize,
    },
    Run {
        ms: u64,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let instance = usize::arbitrary(g) % INSTANCES;
        match u8::arbitrary(g) % 10 {
            0..=2 => match Op::arbitrary(g) {
                // No placer would remain.
                Op::Leave { instance } => Self::Placer(Op::Restart { instance }),
                op => Self::Placer(op),
            },
            3..=4 => Self::Check { instance },
            5..=6 => Self::Send { instance },
            7..=8 => Self::CheckUnload {
                instance,
                engine: usize::arbitrary(g) % ENGINES,
                model: usize::arbitrary(g) % MODELS.len(),
            },
            _ => Self::Run {
                ms: 1_000 * (1 + u64::arbitrary(g) % 40),
            },
        }
    }
}

fn check_recovery(fencing: Fencing, steps: Vec<Step>) -> Result<(), String> {
    let mut scenario = OrderScenario::new(fencing);
    scenario.run(20_000);
    for step in steps {
        match step {
            Step::Placer(op) => scenario.apply(op),
            Step::Check { instance } => scenario.check(instance),
            Step::CheckUnload {
                instance,
                engine,
                model,
            } => scenario.check_unload(instance, engine, model),
            Step::Send { instance } => scenario.send(instance),
            Step::Run { ms } => scenario.run(ms),
        }
        scenario.engines.advance(scenario.world.now_ms);
    }
    scenario.world.settle();
    scenario.run(180_000);
    // An engine without models does not learn the fencing number; a stale load
    // does no harm.
    scenario
        .stale
        .retain(|order| order.kind == OrderKind::Unload);
    let is_fenced = fencing == Fencing::Ignored || scenario.stale.is_empty();
    match scenario.has_all_replicas() && is_fenced {
        true => Ok(()),
        false => Err(format!(
            "{:?}, stale {:?}",
            scenario.replicas(),
            scenario.stale
        )),
    }
}

#[test]
fn engines_end_as_wanted_whatever_the_placers_do() {
    fn property(is_checked: bool, steps: Vec<Step>) -> Result<(), String> {
        let fencing = match is_checked {
            true => Fencing::Checked,
            false => Fencing::Ignored,
        };
        check_recovery(fencing, steps)
    }
    seeded(120).quickcheck(property as fn(_, _) -> _);
}
