//! Text form of a load report in a header.

use rhubarblanding_core::prelude::*;

/// Number of fields of the text form.
const FIELDS: usize = 5;

/// Writes a report as five decimal numbers separated by commas.
pub fn write(report: &LoadReport) -> String {
    format!(
        "{},{},{},{},{}",
        report.in_flight,
        report.queued,
        report.limit,
        report.level.0,
        u8::from(report.draining)
    )
}

/// Reads what [`write`] wrote; anything else is `None`.
pub fn read(text: &str) -> Option<LoadReport> {
    let numbers: Vec<u32> = text
        .split(',')
        .map(str::parse)
        .collect::<Result<_, _>>()
        .ok()?;
    let [in_flight, queued, limit, level, draining]: [u32; FIELDS] = numbers.try_into().ok()?;
    Some(LoadReport {
        in_flight,
        queued,
        limit,
        level: AdmissionLevel(level.try_into().ok()?),
        draining: draining != 0,
        ..LoadReport::default()
    })
}
