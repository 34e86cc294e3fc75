//! The standing duty: which scores it asks for, and whether the journal has each of them on these sources, passed
//! and not fallen.

use std::fmt::{self, Display, Formatter};

use crate::journal::{Entry, Journal};
use crate::sources::{Match, Sources};

/// A score may be this much under the last one before it.
pub const MAY_FALL: f64 = 0.03;

/// A score that the duty asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Score {
    /// All days of the fleet test.
    Full,
    /// Its quick days.
    Quick,
    /// The quick days of the earlier panel named `later`.
    Later,
    /// The days with few nodes; asked for anew where the network code changed, the module aside.
    Brink,
}

impl Score {
    /// All that are asked for.
    pub const ALL: [Score; 4] = [Score::Full, Score::Quick, Score::Later, Score::Brink];

    /// Which of them an entry is, if any. A run that was cut off names no days and is none.
    fn of(entry: &Entry) -> Option<Score> {
        let panel = entry
            .panel
            .as_deref()
            .filter(|_| entry.cmd == "real-score")?;
        let (panel, quick) = match panel.strip_suffix(":quick") {
            Some(panel) => (panel, true),
            None => (panel, false),
        };
        let days: Vec<_> = panel.rsplit(':').next()?.split(',').collect();
        let fleet = days
            .iter()
            .all(|day| day.ends_with("+mass") || *day == "soak");
        let named = entry
            .argv
            .windows(2)
            .find(|pair| pair[0] == "--panel")
            .map(|pair| pair[1].as_str());
        match (fleet, named, quick) {
            (true, _, true) => Some(Score::Quick),
            (true, _, false) if days.len() > 1 => Some(Score::Full),
            (false, Some("later"), true) => Some(Score::Later),
            (false, Some("brink"), false) => Some(Score::Brink),
            _ => None,
        }
    }
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

/// What the journal says of one score on these sources.
#[derive(Debug, PartialEq)]
pub enum Finding {
    /// Played, passed, and not fallen: the figure and the entry.
    Holds(f64, String),
    /// Not played on these sources.
    Missing,
    /// Played, as far as can be told, but the commit with part of its sources is not in this repository.
    Untold(String),
    /// The last play on these sources failed: the entry and why.
    Failed(String, String),
    /// The last play is under the last one before it on other sources: figure, entry, figure then, entry then.
    Fell(f64, String, f64, String),
}

impl Finding {
    /// Whether this score is as the duty wants it.
    pub fn holds(&self) -> bool {
        matches!(self, Finding::Holds(..))
    }
}

impl Display for Finding {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Holds(figure, id) => write!(f, "{figure:.3} ({id})"),
            Finding::Missing => write!(f, "missing for these sources"),
            Finding::Untold(id) => write!(
                f,
                "not told ({id}: the commit that it was played on is not here)"
            ),
            Finding::Failed(id, why) => write!(f, "failed ({id}: {why})"),
            Finding::Fell(figure, id, before, then) => {
                write!(f, "fell to {figure:.3} ({id}) from {before:.3} ({then})")
            }
        }
    }
}

/// What the journal says of all scores.
#[derive(Debug)]
pub struct Verdict(pub Vec<(Score, Finding)>);

impl Verdict {
    /// Judges a journal for the sources as they are.
    pub fn of(journal: &Journal, sources: &Sources) -> Verdict {
        Verdict(
            Score::ALL
                .map(|score| (score, find(journal, sources, score)))
                .into(),
        )
    }

    /// Whether the duty holds.
    pub fn holds(&self) -> bool {
        self.0.iter().all(|(_, finding)| finding.holds())
    }
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the standing duty {}",
            if self.holds() {
                "holds: "
            } else {
                "does not hold: "
            }
        )?;
        for (i, (score, finding)) in self.0.iter().enumerate() {
            write!(f, "{}{score} {finding}", if i == 0 { "" } else { "; " })?;
        }
        Ok(())
    }
}

fn find(journal: &Journal, sources: &Sources, score: Score) -> Finding {
    // A deployment's figures say nothing of another's: the standing one is the one that the later panel was last
    // played on, which has that panel alone.
    let standing = journal
        .entries
        .iter()
        .rev()
        .find(|e| Score::of(e) == Some(Score::Later));
    let site = standing.map(|entry| &entry.site);
    let of_site =
        |e: &&Entry| Score::of(e) == Some(score) && site.is_none_or(|site| e.site == *site);
    let played: Vec<_> = journal.entries.iter().filter(of_site).collect();
    let mut untold = None;
    let same = |entry: &&&Entry| match sources.compare(entry, score == Score::Brink) {
        Match::Same => true,
        Match::Differ => false,
        Match::Unknown => {
            untold.get_or_insert_with(|| entry.id.clone());
            false
        }
    };
    let Some(last) = played.iter().rev().find(same) else {
        return untold.map_or(Finding::Missing, Finding::Untold);
    };
    let figure = match passed(score, last) {
        Ok(figure) => figure,
        Err(why) => return Finding::Failed(last.id.clone(), why),
    };
    let other = |e: &&&Entry| e.at < last.at && (&e.policy, &e.node) != (&last.policy, &last.node);
    let before = played
        .iter()
        .rev()
        .filter(other)
        .find_map(|e| Some((passed(score, e).ok()?, e.id.clone())));
    match before {
        Some((then, id)) if figure < then - MAY_FALL => {
            Finding::Fell(figure, last.id.clone(), then, id)
        }
        _ => Finding::Holds(figure, last.id.clone()),
    }
}

/// The figure of a play, or why it does not count.
fn passed(score: Score, entry: &Entry) -> Result<f64, String> {
    if !entry.ok {
        return Err(entry
            .error
            .clone()
            .unwrap_or_else(|| "the run was cut off".into()));
    }
    if entry.edited_meanwhile {
        return Err("the sources changed while it ran".into());
    }
    let days = entry.days.as_deref().unwrap_or_default();
    if days.is_empty() {
        return Err("it has no days".into());
    }
    for day in days {
        if let Some(fault) = &day.fault {
            return Err(format!("{}: {fault}", day.name));
        }
        let broken = day.rules.iter().flatten().find(|(_, times)| **times > 0);
        if let Some((rule, times)) = broken {
            return Err(format!("{}: rule {rule} broken {times} times", day.name));
        }
        if let Some(gate) = &day.gate {
            return Err(format!("{}: gate {gate}", day.name));
        }
    }
    let figure = |name: &str| entry.figures.get(name).and_then(serde_json::Value::as_f64);
    if score != Score::Later && figure("gate") != Some(1.0) {
        return Err("the gate failed".into());
    }
    figure("real_score").ok_or_else(|| "it has no figure".into())
}
