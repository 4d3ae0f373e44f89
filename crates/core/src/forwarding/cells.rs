//! Division of a large fleet into cells.
//!
//! One scheduler for all instances has to receive a query of each of them four times a second,
//! to send each of them every change of the register, and to make the calls of all their
//! requests. Its load grows with the fleet, and beyond some hundred instances its network link
//! or its processor is saturated.
//!
//! A cell is a set of instances and of backend servers with a scheduler of its own. Its members
//! are assigned by a hash of their names, so they are spread over all availability zones, and a
//! cell behaves like a small fleet: what an instance holds and sends depends on the size of its
//! cell. The number of cells is a power of two, so that doubling it splits each cell in two and
//! no instance or server moves between the others.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{BackendName, InstanceName};

/// Upper bound of the instances of one cell. Its scheduler then handles 256 queries a second.
const MAX_INSTANCES: usize = 64;
/// Fewest instances of a cell, so that another one replaces a scheduler that is lost, also in
/// an availability zone that is cut off.
const MIN_INSTANCES: usize = 16;
/// Fewest servers of a service in each cell. Requests share batches and reserves only within
/// their cell; with 24 servers, random variations of the load are within a fifth of its mean.
const MIN_SERVERS: usize = 24;
/// The same for services that do not batch, whose servers are shared at no loss.
const MIN_UNBATCHED_SERVERS: usize = 8;
/// Upper bound of the number of cells.
const MAX_CELLS: u32 = 1_024;

/// Number of cells of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellLayout {
    cells: u32,
}

impl Default for CellLayout {
    fn default() -> Self {
        Self::SINGLE
    }
}

/// Sizes of a fleet that decide its number of cells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Listed instances.
    pub instances: usize,
    /// Registered servers of each service that batches.
    pub batched_servers: Vec<usize>,
    /// Registered servers of each other service.
    pub unbatched_servers: Vec<usize>,
}

impl FleetSize {
    /// Returns the largest number of cells that leaves each cell enough instances and servers,
    /// with the minimum numbers divided by `slack`.
    fn max_cells(&self, slack: usize) -> usize {
        let per_cell = |count: usize, min: usize| count * slack / min;
        let batched = self.batched_servers.iter();
        let batched = batched.map(|count| per_cell(*count, MIN_SERVERS));
        let unbatched = self.unbatched_servers.iter();
        let unbatched = unbatched.map(|count| per_cell(*count, MIN_UNBATCHED_SERVERS));
        let by_instances = per_cell(self.instances, MIN_INSTANCES);
        let limit = batched.chain(unbatched).fold(by_instances, usize::min);
        limit.clamp(1, MAX_CELLS as usize)
    }
}

impl CellLayout {
    /// One cell with all instances and servers.
    pub const SINGLE: Self = Self { cells: 1 };

    /// Returns the layout of `cells` cells, if that is a valid number of cells.
    pub fn new(cells: u32) -> Option<Self> {
        (cells.is_power_of_two() && cells <= MAX_CELLS).then_some(Self { cells })
    }

    /// Returns the number of cells.
    pub fn cells(self) -> u32 {
        self.cells
    }

    /// Returns the cell of `instance`.
    pub fn cell_of(self, instance: &InstanceName) -> Scope {
        let hash = xxh3_64(instance.as_str().as_bytes());
        Scope {
            cells: self.cells,
            cell: (hash % u64::from(self.cells)) as u32,
        }
    }

    /// Returns the cell with this index, if there is one.
    pub fn cell(self, index: u32) -> Option<Scope> {
        (index < self.cells).then_some(Scope {
            cells: self.cells,
            cell: index,
        })
    }

    /// Returns the cell that reads the store for all others.
    pub fn reading_cell(self) -> Scope {
        Scope {
            cells: self.cells,
            cell: 0,
        }
    }

    /// Returns the layout for a fleet of `size` that has this one: as few cells as keep each
    /// within its upper bound, if there are enough servers. This layout stays unless a cell is
    /// over its bound by half, or short of half of the instances or servers that it needs.
    #[must_use]
    pub fn adapted_to(self, size: &FleetSize) -> Self {
        let cells = self.cells as usize;
        let is_too_large = size.instances * 2 > cells * MAX_INSTANCES * 3;
        let is_too_small = cells > size.max_cells(2);
        if !is_too_large && !is_too_small {
            return self;
        }
        let needed = size.instances.div_ceil(MAX_INSTANCES).max(1);
        let limit = size.max_cells(1);
        let limit = 1 << limit.ilog2();
        let cells = needed.next_power_of_two().min(limit) as u32;
        // More cells than now only because one is over its bound.
        match is_too_small {
            true => Self { cells },
            false => Self {
                cells: cells.max(self.cells),
            },
        }
    }
}

/// A set of instances and servers: one cell, or all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope {
    cells: u32,
    cell: u32,
}

impl Default for Scope {
    fn default() -> Self {
        Self::ALL
    }
}

impl Scope {
    /// All instances and servers.
    pub const ALL: Self = Self { cells: 1, cell: 0 };

    /// Returns the index of the cell.
    pub fn cell(self) -> u32 {
        self.cell
    }

    /// Tells whether this scope has all instances and servers of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.cells <= other.cells && other.cell % self.cells == self.cell
    }

    /// Tells whether `instance` is in this scope.
    pub fn has_instance(self, instance: &InstanceName) -> bool {
        self.has(instance.as_str())
    }

    /// Tells whether the server that registers as `registered_as` is in this scope.
    pub fn has_server(self, registered_as: &BackendName) -> bool {
        self.has(registered_as.as_str())
    }

    /// Tells whether this is a valid scope, as one received from another instance may not be.
    pub fn is_valid(self) -> bool {
        CellLayout::new(self.cells).is_some() && self.cell < self.cells
    }

    fn has(self, name: &str) -> bool {
        self.cells == 1 || xxh3_64(name.as_bytes()) % u64::from(self.cells) == u64::from(self.cell)
    }
}
