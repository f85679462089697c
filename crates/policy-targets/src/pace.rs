//! Time that work takes on the targets of one pool, as the reference for each of them.
//!
//! Load pattern: calls differ in size and find targets differently full, so the time of one call says
//! little about its target. The reference predicts it from the tokens to prefill and the calls running.
//! Invariant: if all targets slow down equally, none is slower than the reference, because levels are
//! compared with their median over the targets.
//!
//! The prediction is a linear model of the logarithm of the time, fitted to each sample as it arrives by
//! a stochastic gradient with bounded influence (Huber, 1964; Robbins and Monro, 1951).

use std::time::Duration;

use base_types::{key_types, message_types};

/// Largest part of a deviation, as a logarithm, that a sample changes the reference by: a few very slow
/// calls hardly move it.
const INFLUENCE_MAX: f64 = 0.5;

/// Smallest weight of a sample in the reference. The reference follows a change of the whole pool within
/// about a hundred samples.
const LEARNING_RATE: f64 = 0.02;

/// Tokens beyond which the time to the first event grows with the prompt rather than being constant.
const TOKENS_SCALE: f64 = 1_000.0;

/// Load, as a multiple of the slots, above which the prediction no longer rises.
const LOAD_RATIO_MAX: f64 = 2.0;

/// Bounds of the model's slopes: more tokens and more load never make a target faster.
const TOKEN_SLOPE_MAX: f64 = 1.5;
const LOAD_SLOPE_MAX: f64 = 2.0;

/// Slopes assumed before there are samples.
const TOKEN_SLOPE_START: f64 = 0.5;
const LOAD_SLOPE_START: f64 = 0.3;

/// Samples after which a model counts as fitted; before, it says nothing of targets.
const FITTED_SAMPLES: u32 = 8;

/// Deviation from the median level above which a target's samples do not change the reference, so that a
/// slow minority does not become the norm where it alone has samples.
const OUTLIER_LEVEL: f64 = 0.4;

/// Width of the bins in which levels are counted; the median is exact to half of it.
const BIN_WIDTH: f64 = 0.05;
const BINS: usize = 160;

key_types! {
    /// What was timed on a target.
    pub enum WorkKind {
        /// From sending a call to the first event of its stream.
        FirstEvent,
        /// From one event of a stream to the next.
        EventPause,
        /// From sending a call to the end of its response, which is no stream.
        WholeCall,
    }
}

message_types! {
    /// Duration of one piece of work on a target.
    #[derive(Copy)]
    pub struct WorkSample {
        /// What was timed.
        pub kind: WorkKind,
        /// How long it took.
        pub elapsed: Duration,
        /// Prompt tokens that the target had to prefill; zero for pauses.
        pub prefill_tokens: u32,
        /// Calls of all routers running on the target, as a multiple of its slots.
        pub load_ratio: f64,
    }
}

/// Reference of one pool.
#[derive(Debug, Default)]
pub struct PoolPace {
    first_event: PaceModel,
    event_pause: PaceModel,
    whole_call: PaceModel,
    levels: LevelCounts,
}

impl PoolPace {
    /// Logarithm of the sample's time relative to the prediction; `None` while there is no prediction.
    pub fn deviation(&self, sample: &WorkSample) -> Option<f64> {
        let model = self.model(sample.kind);
        (model.samples >= FITTED_SAMPLES).then(|| log_time(sample) - model.predict(sample))
    }

    /// Adapts the reference to a sample of a target with a level, unless the target is an outlier.
    pub fn learn(&mut self, sample: &WorkSample, level: Option<f64>) {
        let median = self.median_level();
        if level.is_none_or(|level| (level - median).abs() <= OUTLIER_LEVEL) {
            match sample.kind {
                WorkKind::FirstEvent => self.first_event.learn(sample),
                WorkKind::EventPause => self.event_pause.learn(sample),
                WorkKind::WholeCall => self.whole_call.learn(sample),
            }
        }
    }

    /// Median of the targets' levels, the lower one of two; zero without levels.
    pub fn median_level(&self) -> f64 {
        self.levels.median
    }

    /// Replaces the level of a target; `None` stands for a target without one.
    pub(crate) fn move_level(&mut self, from: Option<f64>, to: Option<f64>) {
        self.levels.replace(from, to);
    }

    /// Recounts the levels, so that removed targets no longer count.
    pub fn recount(&mut self, levels: impl Iterator<Item = f64>) {
        self.levels = LevelCounts::default();
        for level in levels {
            self.levels.add(level);
        }
        self.levels.update_median();
    }

    fn model(&self, kind: WorkKind) -> &PaceModel {
        match kind {
            WorkKind::FirstEvent => &self.first_event,
            WorkKind::EventPause => &self.event_pause,
            WorkKind::WholeCall => &self.whole_call,
        }
    }
}

/// Prediction of the logarithm of a time in seconds.
#[derive(Debug)]
struct PaceModel {
    samples: u32,
    /// Logarithm of the time at the mean features.
    intercept: f64,
    token_slope: f64,
    load_slope: f64,
    token_mean: f64,
    load_mean: f64,
}

impl Default for PaceModel {
    fn default() -> Self {
        Self {
            samples: 0,
            intercept: 0.0,
            token_slope: TOKEN_SLOPE_START,
            load_slope: LOAD_SLOPE_START,
            token_mean: 0.0,
            load_mean: 0.0,
        }
    }
}

impl PaceModel {
    fn predict(&self, sample: &WorkSample) -> f64 {
        let (tokens, load) = features(sample);
        self.intercept
            + self.token_slope * (tokens - self.token_mean)
            + self.load_slope * (load - self.load_mean)
    }

    fn learn(&mut self, sample: &WorkSample) {
        let (tokens, load) = features(sample);
        if self.samples == 0 {
            (self.token_mean, self.load_mean) = (tokens, load);
            self.intercept = log_time(sample);
        }
        let deviation = log_time(sample) - self.predict(sample);
        let influence = deviation.clamp(-INFLUENCE_MAX, INFLUENCE_MAX);
        self.samples = self.samples.saturating_add(1);
        let rate = LEARNING_RATE.max(1.0 / f64::from(self.samples));
        let (tokens, load) = (tokens - self.token_mean, load - self.load_mean);
        let step = LEARNING_RATE * influence / (1.0 + tokens * tokens + load * load);
        self.token_slope = (self.token_slope + step * tokens).clamp(0.0, TOKEN_SLOPE_MAX);
        self.load_slope = (self.load_slope + step * load).clamp(0.0, LOAD_SLOPE_MAX);
        // Moving the means along the fitted line keeps the prediction.
        self.intercept += rate * (influence + self.token_slope * tokens + self.load_slope * load);
        self.token_mean += rate * tokens;
        self.load_mean += rate * load;
    }
}

fn features(sample: &WorkSample) -> (f64, f64) {
    let tokens = f64::from(sample.prefill_tokens) / TOKENS_SCALE;
    (tokens.ln_1p(), sample.load_ratio.clamp(0.0, LOAD_RATIO_MAX))
}

/// Logarithm of a time in seconds; times below a tenth of a millisecond count as that.
fn log_time(sample: &WorkSample) -> f64 {
    sample.elapsed.as_secs_f64().max(1e-4).ln()
}

/// Number of targets by level. A change is found in a bounded number of steps, whatever the number of
/// targets.
#[derive(Debug)]
struct LevelCounts {
    counts: [u32; BINS],
    total: u32,
    median: f64,
}

impl Default for LevelCounts {
    fn default() -> Self {
        Self { counts: [0; BINS], total: 0, median: 0.0 }
    }
}

impl LevelCounts {
    fn replace(&mut self, from: Option<f64>, to: Option<f64>) {
        if from.map(bin_of) == to.map(bin_of) {
            return;
        }
        if let Some(level) = from {
            let count = &mut self.counts[bin_of(level)];
            self.total -= u32::from(*count > 0);
            *count = count.saturating_sub(1);
        }
        if let Some(level) = to {
            self.add(level);
        }
        self.update_median();
    }

    fn add(&mut self, level: f64) {
        self.counts[bin_of(level)] += 1;
        self.total += 1;
    }

    fn update_median(&mut self) {
        let mut below = 0;
        let middle = self.counts.iter().position(|count| {
            below += count;
            below * 2 >= self.total
        });
        self.median = match middle {
            Some(bin) if self.total > 0 => (bin as f64 + 0.5 - BINS as f64 / 2.0) * BIN_WIDTH,
            _ => 0.0,
        };
    }
}

fn bin_of(level: f64) -> usize {
    let bin = level / BIN_WIDTH + BINS as f64 / 2.0;
    bin.clamp(0.0, BINS as f64 - 1.0) as usize
}
