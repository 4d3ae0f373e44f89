//! Orders of several placers to engines that check fencing numbers and engines
//! that ignore them, with placers frozen between their check and their order.

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

/// Placers, each with its reconciler, and the orders that it has checked and not
/// sent yet.
struct Joint {
    world: World,
    objects: Objects,
    engines: Engines,
    reconcilers: Vec<Reconciler>,
    checked: Vec<Vec<Order>>,
    /// Orders of a replaced placer that an engine took.
    stale: Vec<Order>,
    newest_fence: u64,
}

impl Joint {
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

    /// Lets the placer look at the engines and check its permit.
    fn check(&mut self, at: usize) {
        if self.world.nodes[at].is_frozen {
            return;
        }
        let now_ms = self.world.local_ms(at);
        let Some(permit) = self.world.nodes[at].placer.permit(now_ms) else {
            return;
        };
        for report in self.engines.reports(self.world.now_ms) {
            self.reconcilers[at].on_report(now_ms, &report);
        }
        let round = self.reconcilers[at].round(now_ms, &self.objects.layout(), &permit);
        self.checked[at].extend(round.orders);
    }

    /// Hands over what was checked; a frozen placer does so when it wakes.
    fn send(&mut self, at: usize) {
        if self.world.nodes[at].is_frozen {
            return;
        }
        for order in std::mem::take(&mut self.checked[at]) {
            let result = self.engines.order(self.world.now_ms, &order, SIZE_MB);
            if matches!(result, OrderResult::Applied { .. }) && order.fence < self.newest_fence {
                self.stale.push(order.clone());
            }
            self.newest_fence = self.newest_fence.max(order.fence);
            let now_ms = self.world.local_ms(at);
            self.reconcilers[at].on_result(now_ms, &order, &result);
        }
    }

    fn run(&mut self, ms: u64) {
        let end_ms = self.world.now_ms + ms;
        while self.world.now_ms < end_ms {
            self.world.run(ROUND_MS);
            self.engines.advance(self.world.now_ms);
            for at in 0..INSTANCES {
                self.check(at);
                self.send(at);
            }
        }
    }

    fn apply(&mut self, op: Op) {
        if let Op::Restart { at } = op {
            self.checked[at].clear();
            self.reconcilers[at] = Reconciler::new(PlacementSettings::default());
        }
        self.world.apply(op);
    }

    fn replicas(&self) -> Vec<usize> {
        let names = MODELS.iter().map(|(name, ..)| *name);
        names.map(|name| self.engines.replicas(name)).collect()
    }

    fn is_as_wanted(&self) -> bool {
        let least = MODELS.iter().map(|(_, _, least)| *least as usize);
        self.replicas()
            .into_iter()
            .zip(least)
            .all(|(found, least)| found >= least)
    }

    /// Checks an unload that the placer `at` may have decided on under an
    /// earlier configuration.
    fn check_unload(&mut self, at: usize, engine: usize, model: usize) {
        if self.world.nodes[at].is_frozen {
            return;
        }
        let permit = self.world.nodes[at].placer.permit(self.world.local_ms(at));
        // None is decided on before the engines were told the term's number.
        if let Some(permit) = permit.filter(|permit| permit.fence == self.newest_fence) {
            self.checked[at].push(Order {
                fence: permit.fence,
                backend: self.engines.engines[engine].name.as_str().into(),
                fencing: self.objects.pools[0].fencing,
                kind: OrderKind::Unload,
                model: MODELS[model].0.into(),
            });
        }
    }

    /// Freezes the placer with an unload of each replica checked and not sent,
    /// until another one has stood up and settled; then wakes it.
    fn wake_old_placer_with_unloads(&mut self) {
        self.run(60_000);
        assert!(self.is_as_wanted());
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
        self.world.apply(Op::Freeze { at: old });
        self.run(90_000);
        assert!(self.is_as_wanted());
        let new = self.world.placers()[0];
        self.newest_fence = self.world.nodes[new].placer.own_term().unwrap().0;
        assert!(self.newest_fence > fence);
        self.world.apply(Op::Thaw { at: old });
        self.send(old);
    }
}

#[test]
fn engines_that_check_refuse_a_woken_placer() {
    let mut joint = Joint::new(Fencing::Checked);
    joint.wake_old_placer_with_unloads();
    assert_eq!(joint.stale, []);
    assert!(joint.is_as_wanted());
    joint.run(60_000);
    assert!(joint.is_as_wanted());
}

#[test]
fn engines_that_ignore_the_number_are_put_right_after_a_woken_placer() {
    let mut joint = Joint::new(Fencing::Ignored);
    joint.wake_old_placer_with_unloads();
    assert_eq!(joint.stale.len(), ENGINES * MODELS.len());
    assert_eq!(joint.replicas(), [0, 0], "what is still possible");
    joint.run(60_000);
    assert!(joint.is_as_wanted());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Placer(Op),
    Check {
        at: usize,
    },
    CheckUnload {
        at: usize,
        engine: usize,
        model: usize,
    },
    Send {
        at: usize,
    },
    Run {
        ms: u64,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g) % INSTANCES;
        match u8::arbitrary(g) % 10 {
            0..=2 => match Op::arbitrary(g) {
                // Nobody would be left to place.
                Op::Leave { at } => Self::Placer(Op::Restart { at }),
                op => Self::Placer(op),
            },
            3..=4 => Self::Check { at },
            5..=6 => Self::Send { at },
            7..=8 => Self::CheckUnload {
                at,
                engine: usize::arbitrary(g) % ENGINES,
                model: usize::arbitrary(g) % MODELS.len(),
            },
            _ => Self::Run {
                ms: 1_000 * (1 + u64::arbitrary(g) % 40),
            },
        }
    }
}

fn after_any_order_of_events(fencing: Fencing, steps: Vec<Step>) -> Result<(), String> {
    let mut joint = Joint::new(fencing);
    joint.run(20_000);
    for step in steps {
        match step {
            Step::Placer(op) => joint.apply(op),
            Step::Check { at } => joint.check(at),
            Step::CheckUnload { at, engine, model } => joint.check_unload(at, engine, model),
            Step::Send { at } => joint.send(at),
            Step::Run { ms } => joint.run(ms),
        }
        joint.engines.advance(joint.world.now_ms);
    }
    joint.world.calm();
    joint.run(180_000);
    // An engine that reports nothing is not told the number; a load does no harm.
    joint.stale.retain(|order| order.kind == OrderKind::Unload);
    let is_fenced = fencing == Fencing::Ignored || joint.stale.is_empty();
    match joint.is_as_wanted() && is_fenced {
        true => Ok(()),
        false => Err(format!("{:?}, stale {:?}", joint.replicas(), joint.stale)),
    }
}

#[test]
fn engines_end_as_wanted_whatever_the_placers_do() {
    fn law(is_checked: bool, steps: Vec<Step>) -> Result<(), String> {
        let fencing = match is_checked {
            true => Fencing::Checked,
            false => Fencing::Ignored,
        };
        after_any_order_of_events(fencing, steps)
    }
    seeded(120).quickcheck(law as fn(_, _) -> _);
}
