//! Takes in what upstreams say of themselves, and says so.

use crate::events;
use crate::serve_parts::ServeParts;
use guava_log::log_event;
use guava_policy::{AnswerWords, WordNews};
use guava_types::{Moment, UpstreamId};
use std::fmt::Display;

/// Takes in what an answer says of its upstream, to a request that was sent at some moment.
pub fn note_words(parts: &ServeParts, upstream: &UpstreamId, words: &AnswerWords, sent: Moment) {
    let now = Moment::now();
    let news = parts.words.borrow_mut().note_answer(upstream, words, sent, now);
    news.iter().for_each(|news| log_news(parts, upstream, news, &"answer", now, now));
}

fn log_news(
    parts: &ServeParts,
    upstream: &UpstreamId,
    news: &WordNews,
    source: &impl Display,
    as_of: Moment,
    now: Moment,
) {
    let (word, value): (&str, Box<str>) = match news {
        WordNews::Limited(rate) => ("limit", rate.to_string().into()),
        WordNews::Unlimited => ("no-limit", "".into()),
        WordNews::Unread(value) => ("unreadable", value.clone()),
    };
    parts.metrics.count_word(word);
    log_event!(
        info,
        events::WORD_LEARNT,
        upstream = upstream,
        word = word,
        value = value,
        source = source,
        age_ms = now.millis_since(as_of)
    );
}
