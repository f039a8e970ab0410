//! Load patterns that the decision logic must handle, one module each, in simulated time.

mod demand_above_slots;
mod heavy_calls_across_data_centres;
mod inner_calls_behind_long_ones;
mod limited_fleet;
mod line;
mod retry_storm_of_a_fleet;
mod slow_instance;
mod thundering_return;
mod unproven_version_under_load;
