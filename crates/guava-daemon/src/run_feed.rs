//! One run at an engine, read as a whole answer: in order, without repeats or holes, over as many
//! connections as it takes.

use guava_outside::{EngineClient, EngineEvent, EngineStream, HttpError, Usage};
use guava_policy::{ReplyAssembler, ReplyChunk, ReplyStep};
use guava_types::{Deadline, VersionName};
use snafu::Snafu;
use std::time::Duration;
use tokio::time::sleep;

/// A stream that says nothing for so long is read on over a new connection.
pub const SILENCE_MS: u64 = 1_000;
const RESUME_MS: u64 = 1_000;
const RESUME_PAUSE_MS: u64 = 50;
/// Resumes in a row that bring nothing before the run is given up.
const MAX_RESUMES: u32 = 3;

/// Why an answer can't be completed.
#[derive(Debug, Snafu)]
pub enum FeedError {
    /// The engine can't be reached, or does not answer.
    #[snafu(display("run lost: {reason}"))]
    Lost {
        /// Why.
        reason: Box<str>,
    },
    /// The answer came from another request, run or version than the one asked for.
    #[snafu(display("engine answered with {what} of another run"))]
    Foreign {
        /// What did not match.
        what: &'static str,
    },
}

/// What came next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedStep {
    /// Chunks in order; at least one.
    Chunks(Vec<ReplyChunk>),
    /// The whole answer has been delivered.
    End(Usage),
}

/// The feed.
pub struct RunFeed {
    client: EngineClient,
    request: Option<Box<str>>,
    version: VersionName,
    run: Option<Box<str>>,
    stream: EngineStream,
    order: ReplyAssembler,
    usage: Option<Usage>,
    idle_resumes: u32,
    resumes: u32,
}

impl RunFeed {
    /// The feed of a run that has just been started.
    pub fn started(
        client: EngineClient,
        request: Box<str>,
        version: VersionName,
        stream: EngineStream,
    ) -> Self {
        let run = stream.run.clone();
        let feed = Self::reading(client, version, stream, ReplyAssembler::default());
        Self { request: Some(request), run, ..feed }
    }

    /// Reads a run on from a position.
    pub async fn attached(
        client: EngineClient,
        run: Box<str>,
        version: VersionName,
        from: u64,
    ) -> Result<Self, HttpError> {
        let stream = client.resume(&run, from, Deadline::in_millis(RESUME_MS)).await?;
        let feed = Self::reading(client, version, stream, ReplyAssembler::starting_at(from));
        Ok(Self { run: Some(run), ..feed })
    }

    fn reading(
        client: EngineClient,
        version: VersionName,
        stream: EngineStream,
        order: ReplyAssembler,
    ) -> Self {
        Self {
            client,
            request: None,
            version,
            run: None,
            stream,
            order,
            usage: None,
            idle_resumes: 0,
            resumes: 0,
        }
    }

    /// The run's id, once the engine has told it.
    pub fn run(&self) -> Option<&str> {
        self.run.as_deref()
    }

    /// How often a new connection was needed.
    pub fn resumes(&self) -> u32 {
        self.resumes
    }

    /// Tells the engine to stop.
    pub async fn cancel(&self) {
        if let Some(run) = &self.run {
            drop(self.client.cancel(run, Deadline::in_millis(RESUME_MS)).await);
        }
    }

    /// The next chunks in order, or the end. May be dropped and called again.
    pub async fn next(&mut self) -> Result<FeedStep, FeedError> {
        loop {
            if let Some(usage) = self.usage
                && self.order.is_complete()
            {
                return Ok(FeedStep::End(usage));
            }
            match self.stream.next(Deadline::in_millis(SILENCE_MS)).await {
                Ok(Some(event)) => {
                    if let Some(chunks) = self.take(event).await? {
                        return Ok(FeedStep::Chunks(chunks));
                    }
                }
                Ok(None) => self.reopen("stream ended early").await?,
                Err(error) => self.reopen(&error.to_string()).await?,
            }
        }
    }

    fn check(&mut self, event: &EngineEvent) -> Result<(), FeedError> {
        if self.request.as_ref().is_some_and(|request| *request != event.request) {
            return ForeignSnafu { what: "the request" }.fail();
        }
        if event.version != self.version {
            return ForeignSnafu { what: "the version" }.fail();
        }
        match &self.run {
            None => self.run = Some(event.run.clone()),
            Some(run) if *run != event.run => return ForeignSnafu { what: "the run" }.fail(),
            Some(_) => {}
        }
        Ok(())
    }

    async fn take(&mut self, event: EngineEvent) -> Result<Option<Vec<ReplyChunk>>, FeedError> {
        self.check(&event)?;
        self.idle_resumes = 0;
        let Some(text) = event.text else {
            self.usage = event.usage;
            self.order.note_end(event.position);
            if !self.order.is_complete() {
                self.reopen("end came before the whole answer").await?;
            }
            return Ok(None);
        };
        match self.order.push(ReplyChunk { position: event.position, text }) {
            ReplyStep::Deliver(chunks) if chunks.is_empty() => Ok(None),
            ReplyStep::Deliver(chunks) => Ok(Some(chunks)),
            ReplyStep::Resume { .. } => {
                self.reopen("too many chunks are missing").await?;
                Ok(None)
            }
        }
    }

    /// Opens a new connection to the same run, from the first missing chunk on.
    async fn reopen(&mut self, reason: &str) -> Result<(), FeedError> {
        let lost = |reason: String| FeedError::Lost { reason: reason.into() };
        let Some(run) = self.run.clone() else { return Err(lost(reason.into())) };
        let mut last = reason.to_owned();
        while self.idle_resumes < MAX_RESUMES {
            self.idle_resumes += 1;
            self.resumes += 1;
            let from = self.order.next();
            match self.client.resume(&run, from, Deadline::in_millis(RESUME_MS)).await {
                Ok(stream) => {
                    // The engine is there and knows the run; silence alone is no reason to give
                    // it up, since a long prefill is silent too.
                    self.stream = stream;
                    self.idle_resumes = 0;
                    return Ok(());
                }
                Err(HttpError::Refused { .. }) => {
                    return Err(lost("the engine no longer knows the run".into()));
                }
                Err(error) => last = error.to_string(),
            }
            sleep(Duration::from_millis(RESUME_PAUSE_MS)).await;
        }
        Err(lost(last))
    }
}
