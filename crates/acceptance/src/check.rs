//! The acceptance check: defines which scores of the fleet test are required, and checks that the journal has a run of
//! each of them on the current sources that passed without a regression.
//!
//! A score runs a set of days, which are the scenarios of the fleet test. A set of days with a name is a panel.

use std::fmt::{self, Display, Formatter};

use crate::journal::{Entry, Journal};
use crate::sources::{Match, Sources};

/// A score that is lower than the previous one by at most this much is not a regression.
pub const REGRESSION_TOLERANCE: f64 = 0.03;

/// Command name in the journal of a score on real nodes.
const SCORE_COMMAND: &str = "real-score";
/// Suffix of the panel text in the journal if only the quick days were run.
const QUICK_SUFFIX: &str = ":quick";
/// Suffix of the names of the days of the fleet test.
const FLEET_DAY_SUFFIX: &str = "+mass";
/// The only day of the fleet test whose name does not have [`FLEET_DAY_SUFFIX`].
const SOAK_DAY: &str = "soak";
/// Name of the metric that holds the score, from 0 to 1.
const SCORE_METRIC: &str = "real_score";
/// Name of the metric that is 1 if the run passed the test's gate, its pass criteria.
const GATE_METRIC: &str = "gate";

/// A required score.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Score {
    /// All days of the fleet test.
    Full,
    /// The quick days of the fleet test.
    Quick,
    /// The quick days of the earlier panel named `later`.
    Later,
    /// The days with few nodes, in the panel named `brink`. It has to be run again only if the network code changed,
    /// not if only the policy changed.
    Brink,
}

impl Score {
    /// All required scores.
    pub const ALL: [Score; 4] = [Score::Full, Score::Quick, Score::Later, Score::Brink];

    /// The score that an entry is a run of, if any. An interrupted run lists no days and is not a run of any score.
    fn of(entry: &Entry) -> Option<Score> {
        if entry.command != SCORE_COMMAND {
            return None;
        }
        let panel = entry.panel.as_deref()?;
        let (panel, quick) = match panel.strip_suffix(QUICK_SUFFIX) {
            Some(panel) => (panel, true),
            None => (panel, false),
        };
        let days: Vec<&str> = panel.rsplit(':').next()?.split(',').collect();
        let is_fleet_test = days
            .iter()
            .all(|day| day.ends_with(FLEET_DAY_SUFFIX) || *day == SOAK_DAY);
        match (is_fleet_test, named_panel(entry), quick) {
            (true, _, true) => Some(Score::Quick),
            (true, _, false) if days.len() > 1 => Some(Score::Full),
            (false, Some("later"), true) => Some(Score::Later),
            (false, Some("brink"), false) => Some(Score::Brink),
            _ => None,
        }
    }

    /// Whether a run is valid for all sources with the same network code, even if their policy differs.
    fn depends_on_network_code_only(self) -> bool {
        self == Score::Brink
    }
}

/// The panel named in the arguments of a run.
fn named_panel(entry: &Entry) -> Option<&str> {
    let mut pairs = entry.arguments.windows(2);
    let flag_and_name = pairs.find(|pair| pair[0] == "--panel")?;
    Some(flag_and_name[1].as_str())
}

impl Display for Score {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Score::Full => "full score",
            Score::Quick => "quick score",
            Score::Later => "later panel",
            Score::Brink => "brink panel",
        })
    }
}

/// The score of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunScore {
    /// The score, from 0 to 1.
    pub value: f64,
    /// Id of the run's entry in the journal.
    pub entry: String,
}

impl Display for RunScore {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} ({})", self.value, self.entry)
    }
}

/// What the journal shows about one score on these sources.
#[derive(Debug, PartialEq)]
pub enum Finding {
    /// The score was run and passed without a regression.
    Passed(RunScore),
    /// The score was not run on these sources.
    Missing,
    /// The score was run, but its sources cannot be compared: their commit is not in this repository.
    Unverifiable {
        /// Id of the run's entry.
        entry: String,
    },
    /// The last run on these sources failed.
    Failed {
        /// Id of the run's entry.
        entry: String,
        /// Why the run is not valid.
        reason: String,
    },
    /// The score of the last run is lower than that of the previous run, which was on other sources.
    Regressed {
        /// The last run.
        latest: RunScore,
        /// The previous run.
        previous: RunScore,
    },
}

impl Finding {
    /// Whether the score passed.
    pub fn passed(&self) -> bool {
        matches!(self, Finding::Passed(_))
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Passed(score) => write!(f, "{score}"),
            Finding::Missing => write!(f, "missing for these sources"),
            Finding::Unverifiable { entry } => write!(
                f,
                "unknown ({entry}: the commit that it was run on is not in this repository)"
            ),
            Finding::Failed { entry, reason } => write!(f, "failed ({entry}: {reason})"),
            Finding::Regressed { latest, previous } => {
                write!(f, "fell to {latest} from {previous}")
            }
        }
    }
}

/// A required score and what the journal shows about it.
#[derive(Debug)]
pub struct ScoreFinding {
    /// The score.
    pub score: Score,
    /// What the journal shows about it.
    pub finding: Finding,
}

/// What the journal shows about all required scores.
#[derive(Debug)]
pub struct Verdict {
    findings: Vec<ScoreFinding>,
}

impl Verdict {
    /// Evaluates a journal for the current sources.
    pub fn of(journal: &Journal, sources: &Sources) -> Verdict {
        let find = |score| ScoreFinding {
            score,
            finding: find(journal, sources, score),
        };
        Verdict {
            findings: Score::ALL.map(find).into(),
        }
    }

    /// Each score with its finding, in the order of [`Score::ALL`].
    pub fn findings(&self) -> &[ScoreFinding] {
        &self.findings
    }

    /// Whether every required score passed.
    pub fn passed(&self) -> bool {
        self.findings.iter().all(|found| found.finding.passed())
    }
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let outcome = if self.passed() {
            "passes"
        } else {
            "does not pass"
        };
        write!(f, "the acceptance check {outcome}: ")?;
        for (index, ScoreFinding { score, finding }) in self.findings.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{score} {finding}")?;
        }
        Ok(())
    }
}

/// The latest run on the deployment under test. Scores of different deployments cannot be compared. Only the deployment
/// under test has the `later` panel, so this is the last run of that panel.
fn deployment_under_test(journal: &Journal) -> Option<&Entry> {
    let mut newest_first = journal.entries.iter().rev();
    newest_first.find(|entry| Score::of(entry) == Some(Score::Later))
}

fn find(journal: &Journal, sources: &Sources, score: Score) -> Finding {
    let under_test = deployment_under_test(journal);
    let is_run_of_score = |entry: &&Entry| {
        Score::of(entry) == Some(score)
            && under_test.is_none_or(|reference| entry.deployment == reference.deployment)
    };
    let runs: Vec<&Entry> = journal.entries.iter().filter(is_run_of_score).collect();
    let latest = match latest_on(sources, score, &runs) {
        Ok(latest) => latest,
        Err(finding) => return finding,
    };
    let latest_score = match valid_score(score, latest) {
        Ok(latest_score) => latest_score,
        Err(reason) => {
            return Finding::Failed {
                entry: latest.id.clone(),
                reason,
            };
        }
    };
    match previous_score(score, latest, &runs) {
        Some(previous) if latest_score.value < previous.value - REGRESSION_TOLERANCE => {
            Finding::Regressed {
                latest: latest_score,
                previous,
            }
        }
        _ => Finding::Passed(latest_score),
    }
}

/// The latest of the runs, which are sorted oldest first, on these sources. If there is none, the finding says why.
fn latest_on<'a>(
    sources: &Sources,
    score: Score,
    runs: &[&'a Entry],
) -> Result<&'a Entry, Finding> {
    let mut unverifiable = None;
    for run in runs.iter().rev() {
        match sources.compare(run, score.depends_on_network_code_only()) {
            Match::Same => return Ok(run),
            Match::Differ => {}
            Match::Unknown => {
                unverifiable.get_or_insert_with(|| run.id.clone());
            }
        }
    }
    Err(match unverifiable {
        None => Finding::Missing,
        Some(entry) => Finding::Unverifiable { entry },
    })
}

/// The score of the last valid run before `latest` on other sources.
fn previous_score(score: Score, latest: &Entry, runs: &[&Entry]) -> Option<RunScore> {
    let latest_files = (&latest.policy_files, &latest.node_files);
    runs.iter()
        .rev()
        .filter(|run| run.times < latest.times)
        .filter(|run| (&run.policy_files, &run.node_files) != latest_files)
        .find_map(|run| valid_score(score, run).ok())
}

/// The score of a run, or why the run is not valid.
fn valid_score(score: Score, entry: &Entry) -> Result<RunScore, String> {
    if !entry.completed {
        return Err(entry
            .error
            .clone()
            .unwrap_or_else(|| "the run was interrupted".into()));
    }
    if entry.edited_meanwhile {
        return Err("the sources changed while it ran".into());
    }
    check_days(entry)?;
    let metric = |name: &str| entry.metrics.get(name).and_then(serde_json::Value::as_f64);
    if score != Score::Later && metric(GATE_METRIC) != Some(1.0) {
        return Err("the gate failed".into());
    }
    let value = metric(SCORE_METRIC).ok_or("it has no score")?;
    Ok(RunScore {
        value,
        entry: entry.id.clone(),
    })
}

/// Fails with the reason if a day of a run failed or the run has no days.
fn check_days(entry: &Entry) -> Result<(), String> {
    let days = entry.days.as_deref().unwrap_or_default();
    if days.is_empty() {
        return Err("it has no days".into());
    }
    for day in days {
        if let Some(failure) = &day.failure {
            return Err(format!("{}: {failure}", day.name));
        }
        let mut violations = day.rule_violations.iter().flatten();
        if let Some((rule, times)) = violations.find(|(_, times)| **times > 0) {
            return Err(format!("{}: rule {rule} broken {times} times", day.name));
        }
        if let Some(gate) = &day.failed_gate {
            return Err(format!("{}: gate {gate}", day.name));
        }
    }
    Ok(())
}
