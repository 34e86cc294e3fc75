//! Who gives its place up, and who does not.

use super::*;

impl Resting {
    /// How many rest and have not been asked.
    pub(crate) fn count(&self) -> usize {
        self.inner().asked_first.len()
    }
}

#[test]
fn a_wish_for_a_place_goes_to_whoever_rests_first_and_ends_with_the_newcomers_wait() {
    let resting = Arc::new(Resting::default());
    let asked = |rest: &mut Rest| {
        let mut wait = std::pin::pin!(rest.asked());
        let waker = std::task::Waker::noop();
        wait.as_mut()
            .poll(&mut std::task::Context::from_waker(waker))
            .is_ready()
    };
    // Nobody rests: the next that does is asked, once.
    resting.ask_or_wait();
    let (mut first, mut second) = (resting.begin(), resting.begin());
    assert!(asked(&mut first) && !asked(&mut second));
    // Asked, and busy again in that moment: the question goes on.
    drop(first);
    assert!(asked(&mut second));
    second.closes();
    // A newcomer that has its place leaves no wish behind.
    resting.ask_or_wait();
    resting.satisfied();
    assert!(!asked(&mut resting.begin()));
    assert!(!resting.ask(), "none is left behind");
}
