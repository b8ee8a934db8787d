//! Tests of the report's computation and rendering.

use std::time::Duration;

use burn::downsample::Downsampler;
use burn::report::{Report, ReportConfig};
use burn::sample::{Bucket, Observation, Reading, Sample};
use burn::{WindowPair, picture, text};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use yare::parameterized;

const NOW: u64 = 100_000_000;
const MINUTE: u64 = 60_000;

/// Requests since the previous step: answered, refused by a full queue, refused by the caller's rate limit; and whether
/// the entry restarted before them.
type Step = (u64, u64, u64, bool);

fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    }
}

fn report_config(entries: &[&str]) -> ReportConfig {
    let class = r#"{"name":"urgent","owner":"ops","class":"urgent","rank":0,
        "objective":{"answered":0.9,"within_ms":2000,"within":0.5}}"#;
    ReportConfig {
        classes: vec![serde_json::from_str(class).unwrap()],
        entries: entries.iter().map(ToString::to_string).collect(),
        pairs: WindowPair::defaults(),
        period: Duration::from_secs(86_400),
    }
}

fn reading(started: Option<f64>, [answered, queue, rate]: [u64; 3]) -> Observation {
    let causes = ["answered", "not-run/queue", "not-run/rate"].map(String::from);
    let causes = causes.into_iter().zip([answered, queue, rate]).collect();
    let buckets = [Some(1.0), Some(5.0), None].into_iter();
    let buckets = buckets.zip([answered / 2, answered, answered]);
    let buckets = buckets
        .map(|(bound, count)| Bucket { bound, count })
        .collect();
    Observation::Reading(Reading {
        started,
        requests: [("urgent".to_owned(), causes)].into(),
        first_byte: [("urgent".to_owned(), buckets)].into(),
    })
}

/// Returns the samples of an entry, one per minute, the last one at [`NOW`].
fn samples(entry: &str, steps: &[Step], exports_start: bool) -> Vec<Sample> {
    let (mut counts, mut started) = ([0; 3], 1.0);
    let samples = steps.iter().enumerate().map(|(index, step)| {
        if step.3 {
            (counts, started) = ([0; 3], started + 1.0);
        }
        counts = [counts[0] + step.0, counts[1] + step.1, counts[2] + step.2];
        Sample {
            time_ms: NOW - MINUTE * (steps.len() - 1 - index) as u64,
            entry: entry.into(),
            observation: reading(exports_start.then_some(started), counts),
        }
    });
    samples.collect()
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let count = || 0..1000_u64;
    let step = (count(), count(), count(), prop::bool::weighted(0.2));
    prop::collection::vec(step, 1..40)
}

/// Generates samples with arbitrary times, rising and falling counters, and failures.
fn arbitrary_samples() -> impl Strategy<Value = Vec<Sample>> {
    let started = prop::option::of((0..3_u8).prop_map(f64::from));
    let read =
        (started, [0..50_u64, 0..50, 0..50]).prop_map(|(started, counts)| reading(started, counts));
    let observation = prop_oneof![
        4 => read,
        1 => Just(Observation::Error("refused <by> the peer".into())),
    ];
    let sample =
        (0..420_u64, 0..4_u8, observation).prop_map(|(minute, entry, observation)| Sample {
            time_ms: NOW - minute * MINUTE,
            entry: format!("10.0.0.{entry}:9003"),
            observation,
        });
    prop::collection::vec(sample, 0..60)
}

fn windows(report: &Report) -> Vec<&burn::report::Window> {
    let burns = report.objectives.iter();
    burns
        .flat_map(|burn| {
            let pairs = burn.pairs.iter().flat_map(|pair| [&pair.fast, &pair.slow]);
            pairs.chain([&burn.period])
        })
        .collect()
}

proptest! {
    #![proptest_config(config(256))]

    /// Guards against lost, duplicated or negative counts around restarts: every difference between two readings
    /// counts.
    #[test]
    fn counts_survive_restarts(one in steps(), other in steps(), exports_start: bool) {
        let mut all = samples("a", &one, exports_start);
        all.extend(samples("b", &other, exports_start));
        let report = Report::new(&report_config(&[]), &all, NOW);
        let counted = || one.iter().skip(1).chain(other.iter().skip(1));
        let sum = |pick: fn(&Step) -> u64| counted().map(pick).sum::<u64>();
        let period = &report.objectives[0].period;
        if exports_start {
            prop_assert_eq!(period.missed, sum(|step| step.1));
            prop_assert_eq!(period.requests, sum(|step| step.0 + step.1));
        } else {
            // Without a start time, a restart is undetectable once the new counters exceed the old ones.
            prop_assert!(period.requests <= sum(|step| step.0 + step.1));
        }
    }

    /// Guards against losing counts when old readings of a long sample file are dropped.
    #[test]
    fn downsampling_keeps_counts(steps in steps(), recent in 0..40_u64) {
        let mut all = samples("a", &steps, true);
        // With ten minutes between readings, several readings lie between two that are kept.
        for sample in &mut all {
            sample.time_ms = NOW - 10 * (NOW - sample.time_ms);
        }
        let recent_ms = NOW - 10 * recent * MINUTE;
        let mut downsampler = Downsampler::new(recent_ms);
        all.iter().cloned().for_each(|sample| downsampler.push(sample));
        let kept = downsampler.finish();
        let [full, downsampled] = [&all, &kept].map(|samples| Report::new(&report_config(&[]), samples, NOW));
        prop_assert_eq!(&full.objectives[0].period, &downsampled.objectives[0].period);
        prop_assert_eq!(full.causes, downsampled.causes);
        prop_assert_eq!(full.restarts, downsampled.restarts);
        let is_recent = |sample: &&Sample| sample.time_ms >= recent_ms;
        prop_assert_eq!(all.iter().filter(is_recent).count(), kept.iter().filter(is_recent).count());
    }

    /// Guards against shares above 100% of a window's requests, and against windows with more requests than longer
    /// ones.
    #[test]
    fn shares_stay_within_bounds(samples in arbitrary_samples()) {
        let report = Report::new(&report_config(&["10.0.0.0:9003"]), &samples, NOW);
        for window in windows(&report) {
            prop_assert!(window.missed <= window.requests);
            prop_assert!((0.0..=1.0).contains(&window.covered), "{}", window.covered);
            prop_assert_eq!(window.burn.is_some(), window.requests > 0);
        }
        for burn in &report.objectives {
            for pair in &burn.pairs {
                prop_assert!(pair.fast.requests <= pair.slow.requests);
                prop_assert!(pair.slow.requests <= burn.period.requests);
                let exceeds = |window: &burn::report::Window| window.burn > Some(pair.rate);
                prop_assert_eq!(pair.alert, exceeds(&pair.fast) && exceeds(&pair.slow));
            }
            prop_assert!(burn.period.burn.unwrap_or(0.0) * burn.budget <= 1.0 + 1e-9);
        }
    }

    /// Guards against results that depend on the order of entries on the command line or of lines in the file.
    #[test]
    fn report_is_independent_of_order((samples, shuffled) in arbitrary_samples().prop_flat_map(|samples| {
        (Just(samples.clone()), Just(samples).prop_shuffle())
    })) {
        let one = Report::new(&report_config(&["x", "y"]), &samples, NOW);
        let other = Report::new(&report_config(&["y", "x"]), &shuffled, NOW);
        prop_assert_eq!(one, other);
    }
}

proptest! {
    #![proptest_config(config(24))]

    /// Guards against rates that silently cover only the entries that answered: every format lists the others.
    #[test]
    fn unreached_entries_are_listed(samples in arbitrary_samples()) {
        let report_config = report_config(&["10.0.0.0:9003", "10.9.9.9:9003"]);
        let report = Report::new(&report_config, &samples, NOW);
        let failed = samples.iter().filter(|sample| {
            sample.reading().is_none() && sample.time_ms > NOW - 360 * MINUTE
        });
        let mut expected: Vec<&str> = failed.map(|sample| sample.entry.as_str()).collect();
        expected.push("10.9.9.9:9003");
        let text = text::render(&report);
        let json = serde_json::to_value(&report).unwrap();
        let picture = picture::render_svg(&report, &report_config, &samples).unwrap();
        for entry in expected {
            prop_assert!(text.contains(&format!("NOT REACHED {entry}")), "{text}");
            prop_assert!(json["unreached"].as_array().unwrap().iter().any(|one| one["entry"] == entry));
            let named = format!("NOT REACHED {entry}");
            prop_assert!(picture.contains(&named));
            let period = &report.objectives[0].period;
            prop_assert!(period.missing.iter().any(|one| one == entry));
        }
        prop_assert!(!text.contains("\nno alert\n"), "{text}");
    }
}

/// Guards against alerts for a burn that has ended or doesn't exceed the rate of the pair, and against missed alerts.
#[parameterized(
    steady = { 0, 0, true, false },
    ended = { 20, 0, false, false },
    second_pair_only = { 0, 30, false, true },
)]
fn pair_alerts(
    healthy_minutes_at_end: usize,
    answered: u64,
    first_alerts: bool,
    second_alerts: bool,
) {
    // The budget is 10%: the burn rate is 10 when all requests miss the objective, and 7 when 70% of them do.
    let steps: Vec<Step> = (0..361)
        .map(|minute| match minute + healthy_minutes_at_end >= 361 {
            true => (100, 0, 0, false),
            false => (answered, 100 - answered, 0, false),
        })
        .collect();
    let mut report_config = report_config(&[]);
    report_config.pairs[0].rate = 9.0;
    report_config.pairs[1].rate = if second_alerts { 6.0 } else { 10.5 };
    let report = Report::new(&report_config, &samples("a", &steps, true), NOW);
    let pairs = &report.objectives[0].pairs;
    assert_eq!(
        (pairs[0].alert, pairs[1].alert),
        (first_alerts, second_alerts)
    );
    assert_eq!(report.alert, first_alerts || second_alerts);
}

/// Guards against counting hours of requests in the last minutes after an entry was unreachable.
#[test]
fn gap_counts_in_long_windows_only() {
    let mut all = samples("a", &[(10, 0, 0, false), (500, 500, 0, false)], true);
    all[0].time_ms = NOW - 120 * MINUTE;
    let report = Report::new(&report_config(&[]), &all, NOW);
    let pairs = &report.objectives[0].pairs;
    assert_eq!((pairs[0].fast.requests, pairs[1].slow.requests), (0, 1000));
    assert_eq!(report.unreached[0].entry, "a");
}

/// Guards against counting answers as in time when no bucket bound of the histogram confirms it.
#[test]
fn within_rounds_down_to_bucket_bound() {
    let all = samples("a", &[(0, 0, 0, false), (100, 0, 0, false)], true);
    let report = Report::new(&report_config(&[]), &all, NOW);
    let within = &report.objectives[1];
    assert_eq!((within.measured_s, within.period.missed), (Some(1.0), 50));
}
