//! The arithmetic of the report.

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

/// Counts since the last step: answered, refused by a full queue, refused by the caller's rate limit; and a restart.
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

/// Returns the samples of an entry, one a minute, the last one at [`NOW`].
fn samples(entry: &str, steps: &[Step], tells_start: bool) -> Vec<Sample> {
    let (mut counts, mut started) = ([0; 3], 1.0);
    let samples = steps.iter().enumerate().map(|(index, step)| {
        if step.3 {
            (counts, started) = ([0; 3], started + 1.0);
        }
        counts = [counts[0] + step.0, counts[1] + step.1, counts[2] + step.2];
        Sample {
            time_ms: NOW - MINUTE * (steps.len() - 1 - index) as u64,
            entry: entry.into(),
            observation: reading(tells_start.then_some(started), counts),
        }
    });
    samples.collect()
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let count = || 0..1000_u64;
    let step = (count(), count(), count(), prop::bool::weighted(0.2));
    prop::collection::vec(step, 1..40)
}

/// Samples with arbitrary times, counters that rise and fall, and failures.
fn chaos() -> impl Strategy<Value = Vec<Sample>> {
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

    /// Guards against lost, doubled or negative counts around restarts: everything that two readings show is counted.
    #[test]
    fn counts_survive_restarts(one in steps(), other in steps(), tells_start: bool) {
        let mut all = samples("a", &one, tells_start);
        all.extend(samples("b", &other, tells_start));
        let report = Report::new(&report_config(&[]), &all, NOW);
        let shown = || one.iter().skip(1).chain(other.iter().skip(1));
        let sum = |pick: fn(&Step) -> u64| shown().map(pick).sum::<u64>();
        let period = &report.objectives[0].period;
        if tells_start {
            prop_assert_eq!(period.missed, sum(|step| step.1));
            prop_assert_eq!(period.requests, sum(|step| step.0 + step.1));
        } else {
            // A restart whose counters have overtaken the old ones can't be seen.
            prop_assert!(period.requests <= sum(|step| step.0 + step.1));
        }
    }

    /// Guards against counts that are lost with the old readings that a long sample file is thinned out by.
    #[test]
    fn thinning_keeps_counts(steps in steps(), recent in 0..40_u64) {
        let mut all = samples("a", &steps, true);
        // Ten minutes apart, so that several readings lie between two that are kept.
        for sample in &mut all {
            sample.time_ms = NOW - 10 * (NOW - sample.time_ms);
        }
        let recent_ms = NOW - 10 * recent * MINUTE;
        let mut downsampler = Downsampler::new(recent_ms);
        all.iter().cloned().for_each(|sample| downsampler.push(sample));
        let thin = downsampler.finish();
        let [whole, thinned] = [&all, &thin].map(|samples| Report::new(&report_config(&[]), samples, NOW));
        prop_assert_eq!(&whole.objectives[0].period, &thinned.objectives[0].period);
        prop_assert_eq!(whole.causes, thinned.causes);
        prop_assert_eq!(whole.restarts, thinned.restarts);
        let is_recent = |sample: &&Sample| sample.time_ms >= recent_ms;
        prop_assert_eq!(all.iter().filter(is_recent).count(), thin.iter().filter(is_recent).count());
    }

    /// Guards against shares above 100% of a window's requests, and against windows that hold more than longer ones.
    #[test]
    fn shares_stay_within_bounds(samples in chaos()) {
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

    /// Guards against figures that depend on the order of entries on the command line or of lines in the file.
    #[test]
    fn order_does_not_matter((samples, shuffled) in chaos().prop_flat_map(|samples| {
        (Just(samples.clone()), Just(samples).prop_shuffle())
    })) {
        let one = Report::new(&report_config(&["x", "y"]), &samples, NOW);
        let other = Report::new(&report_config(&["y", "x"]), &shuffled, NOW);
        prop_assert_eq!(one, other);
    }
}

proptest! {
    #![proptest_config(config(24))]

    /// Guards against an average over the entries that happened to answer: the others are named in every format.
    #[test]
    fn unreached_is_named(samples in chaos()) {
        let report_config = report_config(&["10.0.0.0:9003", "10.9.9.9:9003"]);
        let report = Report::new(&report_config, &samples, NOW);
        let failed = samples.iter().filter(|sample| {
            sample.reading().is_none() && sample.time_ms > NOW - 360 * MINUTE
        });
        let mut wanted: Vec<&str> = failed.map(|sample| sample.entry.as_str()).collect();
        wanted.push("10.9.9.9:9003");
        let text = text::render(&report);
        let json = serde_json::to_value(&report).unwrap();
        let picture = picture::render_svg(&report, &report_config, &samples).unwrap();
        for entry in wanted {
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

/// Guards against alerts on a burn that has ended or has only just begun, and against missed ones.
#[parameterized(
    steady = { 0, 0, true, false },
    ended = { 20, 0, false, false },
    second_pair_only = { 0, 30, false, true },
)]
fn pair_alerts(quiet_at_end: usize, answered: u64, first: bool, second: bool) {
    // The budget is 10%: the burn rate is 10 when all requests miss the objective, and 7 when 70% of them do.
    let steps: Vec<Step> = (0..361)
        .map(|minute| match minute + quiet_at_end >= 361 {
            true => (100, 0, 0, false),
            false => (answered, 100 - answered, 0, false),
        })
        .collect();
    let mut report_config = report_config(&[]);
    report_config.pairs[0].rate = 9.0;
    report_config.pairs[1].rate = if second { 6.0 } else { 10.5 };
    let report = Report::new(&report_config, &samples("a", &steps, true), NOW);
    let pairs = &report.objectives[0].pairs;
    assert_eq!((pairs[0].alert, pairs[1].alert), (first, second));
    assert_eq!(report.alert, first || second);
}

/// Guards against hours of requests that are counted as those of the last minutes after an entry was out of reach.
#[test]
fn gap_counts_in_long_windows_only() {
    let mut all = samples("a", &[(10, 0, 0, false), (500, 500, 0, false)], true);
    all[0].time_ms = NOW - 120 * MINUTE;
    let report = Report::new(&report_config(&[]), &all, NOW);
    let pairs = &report.objectives[0].pairs;
    assert_eq!((pairs[0].fast.requests, pairs[1].slow.requests), (0, 1000));
    assert_eq!(report.unreached[0].entry, "a");
}

/// Guards against answers that count as in time although no bound of the histogram shows it.
#[test]
fn within_rounds_down() {
    let all = samples("a", &[(0, 0, 0, false), (100, 0, 0, false)], true);
    let report = Report::new(&report_config(&[]), &all, NOW);
    let within = &report.objectives[1];
    assert_eq!((within.measured_s, within.period.missed), (Some(1.0), 50));
}
