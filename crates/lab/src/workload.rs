//! What clients ask, drawn ahead: when, with which text, and how long the answer is.

use milletseam::interface::*;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use rand_pcg::Pcg64Mcg;

use crate::engine::BlockId;

/// What is asked in a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Requests a second, over all conductors.
    pub rate: f64,
    /// For how long they come.
    pub span: Micros,
    /// Families of shared openings; which one a session has goes by a heavy tail.
    pub families: u32,
    /// Length of an opening in tokens.
    pub opening: u64,
    /// Tokens that a turn adds on average.
    pub turn: f64,
    /// Tokens of an answer on average.
    pub answer: f64,
    /// The chance that a request goes on with a session that is known.
    pub again: f64,
    /// The part of requests that book: class 1, which must not run twice.
    pub bookings: f64,
}

impl Default for Workload {
    /// Long shared openings and sessions of several turns, as the deployment's pages describe them.
    fn default() -> Self {
        Workload {
            rate: 27.0,
            span: 60_000_000,
            families: 50,
            opening: 1_500,
            turn: 400.0,
            answer: 60.0,
            again: 0.6,
            bookings: 0.1,
        }
    }
}

/// One request to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// Which conductor gets it.
    pub conductor: usize,
    /// The request; its id is its place in the list.
    pub request: Request,
    /// The blocks of its prompt that are whole.
    pub text: Vec<BlockId>,
    /// Tokens of its answer.
    pub answer: u64,
}

/// A request's id by its number.
pub fn id(number: usize) -> RequestId {
    let mut id = [b'0'; 36];
    id.iter_mut().rev().zip(number.to_string().bytes().rev()).for_each(|(to, digit)| *to = digit);
    RequestId(id)
}

/// The number of a request's id.
pub fn number(id: RequestId) -> usize {
    id.0.iter().fold(0, |number, digit| number * 10 + usize::from(digit.saturating_sub(b'0')))
}

struct Session {
    key: u64,
    family: u64,
    tokens: u64,
}

/// The blocks of a session's text: those of its opening are its family's.
fn blocks(session: &Session, opening: u64, block: u64) -> Vec<BlockId> {
    let name = |n: u64| {
        let (whose, key) = if (n + 1) * block <= opening { (1, session.family) } else { (2, session.key) };
        BlockId((whose << 60) | (key << 20) | n)
    };
    (0..session.tokens / block.max(1)).map(name).collect()
}

/// Draws all requests of a run.
pub fn arrivals(workload: &Workload, conductors: usize, block: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    // Rates, means and counts are positive here; where one is not, there is nothing to draw.
    let (Ok(gaps), Ok(turns), Ok(answers), Ok(families)) = (
        Exp::new(workload.rate / 1e6),
        Exp::new(1.0 / workload.turn),
        Exp::new(1.0 / workload.answer),
        Zipf::new(f64::from(workload.families), 1.1),
    ) else {
        return Vec::new();
    };
    let (mut all, mut sessions, mut at) = (Vec::new(), Vec::<Session>::new(), 0.0);
    loop {
        at += gaps.sample(&mut rng);
        if at >= workload.span as f64 {
            return all;
        }
        let known = rng.random_bool(workload.again) && !sessions.is_empty();
        let place = if known {
            // The later ones are likelier: sessions end without a word.
            let back = (rng.random::<f64>().powi(2) * sessions.len().min(200) as f64) as usize;
            sessions.len() - 1 - back.min(sessions.len() - 1)
        } else {
            let family = families.sample(&mut rng) as u64;
            sessions.push(Session { key: sessions.len() as u64, family, tokens: workload.opening });
            sessions.len() - 1
        };
        let session = &mut sessions[place];
        session.tokens = (session.tokens + 1 + turns.sample(&mut rng) as u64).min(30_000);
        let answer = 1 + answers.sample(&mut rng) as u64;
        let books = rng.random_bool(workload.bookings);
        all.push(Arrival {
            at: at as Micros,
            conductor: rng.random_range(0..conductors.max(1)),
            request: Request {
                id: id(all.len()),
                class: ClassId(u16::from(books)),
                session: Some(SessionKey(session.key)),
                prefix: Some(PrefixKey(session.family)),
                prefix_tokens: workload.opening,
                prompt_tokens: session.tokens,
                max_tokens: answer.next_power_of_two(),
                ..Request::plain()
            },
            text: blocks(session, workload.opening, block),
            answer,
        });
        session.tokens += answer;
    }
}
