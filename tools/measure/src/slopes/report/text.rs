//! The report as text.

use std::fmt;

use super::{FittedLine, Slopes, SlopesReport};

impl fmt::Display for FittedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line, prediction, ..
        } = self;
        writeln!(
            f,
            "  {:20} {:.6} + {:.6e} x, residual {:.3e}; at {:.1}: {:.4} +- {:.4}",
            self.quantity,
            line.intercept,
            line.slope,
            line.residual_deviation(),
            self.at,
            prediction.value,
            prediction.error,
        )
    }
}

impl fmt::Display for Slopes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:?}, {} view", self.variable, self.view)?;
        for c in &self.costs {
            writeln!(
                f,
                "  nodes {:5} calls {:2} tickets/d {:6.0} restarts/d {:6.0}: {:6.2} msg/s {:8.1} B/s \
                 {:8.5} core {:9.0} B state {:9.0} B resident {:6.1} targets {:3} watchers",
                c.nodes,
                c.calls,
                c.tickets_per_day,
                c.restarts_per_day,
                c.messages_per_second,
                c.bytes_per_second,
                c.core_share,
                c.state_bytes,
                c.resident_bytes,
                c.view_targets,
                c.watchers,
            )?;
        }
        self.lines.iter().try_for_each(|line| line.fmt(f))
    }
}

impl fmt::Display for SlopesReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} s each", self.seed, self.window_seconds)?;
        self.slopes.iter().try_for_each(|slopes| slopes.fmt(f))?;
        writeln!(
            f,
            "Time until known everywhere, in milliseconds, against ln(nodes)"
        )?;
        for t in &self.spread {
            writeln!(
                f,
                "  nodes {:5}: up {:6.0} leaving {:6.0} ticket {:6.0}, late {} of {}",
                t.nodes, t.up_ms, t.leaving_ms, t.ticket_ms, t.late, t.changes
            )?;
        }
        self.spread_lines.iter().try_for_each(|line| line.fmt(f))?;
        for (name, costs) in [
            ("Zone loss", &self.zone_loss),
            ("Region cut", &self.region_cut),
        ] {
            writeln!(f, "{name}")?;
            for c in costs {
                writeln!(
                    f,
                    "  nodes {:5}: peak {:8.0} B/s, total {:9.0} B, lost at worst {:.3}, {:.5} core",
                    c.nodes,
                    c.peak_bytes_per_second,
                    c.total_bytes,
                    c.worst_lost_share,
                    c.core_share
                )?;
            }
        }
        writeln!(f, "Baselines")?;
        for c in &self.baselines {
            writeln!(
                f,
                "  {:?} at {} nodes: {:.0} msg/s {:.0} B/s {:.4} core",
                c.baseline, c.nodes, c.messages_per_second, c.bytes_per_second, c.core_share
            )?;
        }
        Ok(())
    }
}
