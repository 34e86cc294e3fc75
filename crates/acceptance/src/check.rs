//! The acceptance check: which scores of the fleet test are required, and whether the journal has each of them on
//! these sources, passed and without a regression.

use std::fmt::{self, Display, Formatter};

use crate::journal::{Entry, Journal};
use crate::sources::{Match, Sources};

/// A score may be this much below the one before it without counting as a regression.
pub const REGRESSION_TOLERANCE: f64 = 0.03;

/// The journal's name for a command that runs a score on real nodes.
const SCORE_COMMAND: &str = "real-score";
/// Ending of the journal's panel text for a run of the quick days only.
const QUICK_SUFFIX: &str = ":quick";
/// Ending of the names of the days that the fleet test consists of.
const FLEET_DAY_SUFFIX: &str = "+mass";
/// The one day of the fleet test whose name has no such ending.
const SOAK_DAY: &str = "soak";
/// The metric that is the score itself, from 0 to 1.
const SCORE_METRIC: &str = "real_score";
/// The metric that is 1 where the run met the test's gate.
const GATE_METRIC: &str = "gate";

/// A score that is required.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Score {
    /// All days of the fleet test.
    Full,
    /// Its quick days.
    Quick,
    /// The quick days of the earlier panel named `later`.
    Later,
    /// The days with few nodes. It has to be run anew only where the network code changed, not the policy alone.
    Brink,
}

impl Score {
    /// All that are required.
    pub const ALL: [Score; 4] = [Score::Full, Score::Quick, Score::Later, Score::Brink];

    /// The score that an entry is a run of, if any. A run that was interrupted names no days and counts as none.
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

    /// Whether a run counts for all sources that share its network code, whatever their policy.
    fn depends_on_network_code_only(self) -> bool {
        self == Score::Brink
    }
}

/// The panel that the arguments of a run name.
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

/// A run's score.
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

/// What the journal has of one score on these sources.
#[derive(Debug, PartialEq)]
pub enum Finding {
    /// Run, passed, and without a regression.
    Passed(RunScore),
    /// Not run on these sources.
    Missing,
    /// Run, but the commit with part of its sources is not in this repository, so they cannot be compared.
    Unverifiable {
        /// Id of the run's entry.
        entry: String,
    },
    /// The last run on these sources failed.
    Failed {
        /// Id of the run's entry.
        entry: String,
        /// Why the run does not count.
        reason: String,
    },
    /// The last run is below the one before it on other sources.
    Regressed {
        /// The last run.
        latest: RunScore,
        /// The one before it.
        previous: RunScore,
    },
}

impl Finding {
    /// Whether this score is as required.
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

/// A required score and what the journal has of it.
#[derive(Debug)]
pub struct ScoreFinding {
    /// The score.
    pub score: Score,
    /// What the journal has of it.
    pub finding: Finding,
}

/// What the journal has of all required scores.
#[derive(Debug)]
pub struct Verdict {
    findings: Vec<ScoreFinding>,
}

impl Verdict {
    /// Judges a journal for the sources as they are.
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

    /// Whether every required score is as required.
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

/// The deployment under test. Scores of different deployments cannot be compared: the one under test is the one that
/// the later panel was last run on, since no other deployment has that panel.
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

/// The latest of some runs, oldest first, that was made on these sources, or the finding where there is none.
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

/// The score of the last valid run before `latest` that was made on other sources.
fn previous_score(score: Score, latest: &Entry, runs: &[&Entry]) -> Option<RunScore> {
    let latest_files = (&latest.policy_files, &latest.node_files);
    runs.iter()
        .rev()
        .filter(|run| run.times < latest.times)
        .filter(|run| (&run.policy_files, &run.node_files) != latest_files)
        .find_map(|run| valid_score(score, run).ok())
}

/// The score of a run, or why the run does not count.
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

/// Why the days of a run do not count, if one does not.
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
