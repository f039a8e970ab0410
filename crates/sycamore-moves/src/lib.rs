//! Release moves: sheet, plan, ramp, evidence, verdict and report.
