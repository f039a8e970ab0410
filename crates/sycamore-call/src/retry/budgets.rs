//! Retry budgets of all services that a node sends calls to.

use super::{RetryBudget, RetryConfig};
use std::collections::HashMap;
use sycamore_types::prelude::*;

/// Number of budgets that are kept for services outside the configuration.
const MAX_REMOVED: usize = 1_024;

/// Retry budget of each service that was called.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Returns the budget of `service` after applying `config`; a new one draws its jitter from
    /// `seed`.
    pub fn of(
        &mut self,
        service: &ServiceName,
        config: RetryConfig,
        seed: u64,
    ) -> &mut RetryBudget {
        let new = || RetryBudget::new(config.clone(), seed);
        let budget = self.budgets.entry(service.clone()).or_insert_with(new);
        budget.configure(config);
        budget
    }

    /// Removes the budgets of services that are not configured, once there are more than 1,024 of
    /// them. A service that comes back before keeps its balance.
    pub fn remove_unconfigured(&mut self, is_configured: impl Fn(&ServiceName) -> bool) {
        let removed = self.budgets.keys().filter(|service| !is_configured(service)).count();
        if removed > MAX_REMOVED {
            self.budgets.retain(|service, _| is_configured(service));
        }
    }

    /// Returns the number of budgets.
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Returns whether no service was called yet.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }
}
