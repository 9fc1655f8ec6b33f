//! Questions to other hosts on flows that this host cannot settle by itself.
//!
//! An opened flow whose record is missing must not be placed anew while another host may hold it.
//! Each question goes to the likeliest hosts first, is repeated when it or its answer is lost, and
//! ends by a deadline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::flow_binding::FlowBinding;
use crate::ids::FlowDigest;
use crate::ids::HostId;
use crate::ids::ServiceId;

/// When an unanswered question is asked again.
const REPEAT_AFTER: Duration = Duration::from_millis(40);
/// When a question ends unanswered: a host that is silent for so long is dead or cut off, which
/// the membership finds out by itself.
const GIVE_UP_AFTER: Duration = Duration::from_millis(200);
/// Most questions at once; further ones are not asked, and their frames are refused at once.
const MAX_QUESTIONS: usize = 4_096;

/// What the frame that raised the question is to the flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowIntent {
    /// It opens the flow, perhaps not for the first time.
    Open,
    /// The flow was opened.
    Established,
}

/// One question.
#[derive(Clone, Debug)]
pub struct FlowQuestion {
    /// The service asked for.
    pub service: ServiceId,
    /// What raised it.
    pub intent: FlowIntent,
    /// The hosts that have not answered.
    pub waiting: BTreeSet<HostId>,
    /// The hosts to ask when those have answered.
    pub later: Vec<HostId>,
    /// Where the asked host that ranks first would derive the flow, if nobody holds it.
    pub derived: Option<(HostId, FlowBinding)>,
    repeat_deadline: Instant,
    give_up_deadline: Instant,
}

/// How a question stands after an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuestionStep {
    /// More answers are to come.
    Waiting,
    /// Ask these hosts now.
    Ask(Vec<HostId>),
    /// Nobody holds the flow.
    Nobody,
}

/// The open questions of a host.
#[derive(Clone, Debug, Default)]
pub struct QuestionTable {
    questions: BTreeMap<FlowDigest, FlowQuestion>,
}

impl QuestionTable {
    /// Whether a question on a flow is open.
    pub fn contains(&self, digest: FlowDigest) -> bool {
        self.questions.contains_key(&digest)
    }

    /// Whether no further question may be asked.
    pub fn is_full(&self) -> bool {
        self.questions.len() >= MAX_QUESTIONS
    }

    /// Opens a question to `first`, and if they know nothing, to `later`.
    pub fn open(
        &mut self,
        now: Instant,
        digest: FlowDigest,
        service: ServiceId,
        intent: FlowIntent,
        first: &[HostId],
        later: &[HostId],
    ) {
        let question = FlowQuestion {
            service,
            intent,
            waiting: first.iter().copied().collect(),
            later: later.to_vec(),
            derived: None,
            repeat_deadline: now + REPEAT_AFTER,
            give_up_deadline: now + GIVE_UP_AFTER,
        };
        self.questions.insert(digest, question);
    }

    /// An open question.
    pub fn get(&self, digest: FlowDigest) -> Option<&FlowQuestion> {
        self.questions.get(&digest)
    }

    /// Takes in where a host would derive a flow; `is_better` compares it with the host before.
    pub fn derived(
        &mut self,
        digest: FlowDigest,
        host: HostId,
        binding: FlowBinding,
        is_better: impl Fn(HostId, HostId) -> bool,
    ) {
        let Some(question) = self.questions.get_mut(&digest) else {
            return;
        };
        match question.derived {
            Some((other, _binding)) if !is_better(host, other) => {}
            _ => question.derived = Some((host, binding)),
        }
    }

    /// Takes in that a host does not hold a flow, or cannot be asked any more.
    pub fn denied(&mut self, now: Instant, digest: FlowDigest, host: HostId) -> QuestionStep {
        let Some(question) = self.questions.get_mut(&digest) else {
            return QuestionStep::Waiting;
        };
        question.waiting.remove(&host);
        question.later.retain(|other| *other != host);
        if !question.waiting.is_empty() {
            return QuestionStep::Waiting;
        }
        if question.later.is_empty() {
            return QuestionStep::Nobody;
        }
        let hosts = std::mem::take(&mut question.later);
        question.waiting = hosts.iter().copied().collect();
        question.repeat_deadline = now + REPEAT_AFTER;
        question.give_up_deadline = now + GIVE_UP_AFTER;
        QuestionStep::Ask(hosts)
    }

    /// Ends a question.
    pub fn close(&mut self, digest: FlowDigest) -> Option<FlowQuestion> {
        self.questions.remove(&digest)
    }

    /// The flows of all open questions.
    pub fn flows(&self) -> Vec<FlowDigest> {
        self.questions.keys().copied().collect()
    }

    /// The flows whose question has ended unanswered.
    pub fn overdue(&self, now: Instant) -> Vec<FlowDigest> {
        let overdue = |question: &FlowQuestion| question.give_up_deadline <= now;
        self.questions
            .iter()
            .filter(|(_digest, question)| overdue(question))
            .map(|(digest, _question)| *digest)
            .collect()
    }

    /// The questions to be asked again of those who are silent.
    pub fn repeats(&mut self, now: Instant) -> Vec<(FlowDigest, FlowQuestion)> {
        let mut repeats = Vec::new();
        for (digest, question) in &mut self.questions {
            if now < question.repeat_deadline {
                continue;
            }
            question.repeat_deadline = now + REPEAT_AFTER;
            repeats.push((*digest, question.clone()));
        }
        repeats
    }
}
