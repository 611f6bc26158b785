//! Takes in what upstreams say of themselves, and has the other daemons told.

use crate::events;
use crate::serve_parts::ServeParts;
use guava_log::log_event;
use guava_policy::{AnswerWords, LimitNotice, WordNews};
use guava_types::{MemberName, Moment, UpstreamId};
use std::fmt::Display;

/// Limits told in one message at most, of some thirty bytes each.
const MOST_TOLD: usize = 48;

/// Takes in what an answer says of its upstream, to a request that was sent at some moment.
pub fn note_words(parts: &ServeParts, upstream: &UpstreamId, words: &AnswerWords, sent: Moment) {
    let now = Moment::now();
    let news = parts.words.borrow_mut().note_answer(upstream, words, sent, now);
    for news in &news {
        log_news(parts, upstream, news, &"answer", now, now);
        if news.is_urgent() {
            parts.words_due.borrow_mut().push(upstream.clone());
            parts.note_due.notify_one();
        }
    }
}

/// Takes in what another daemon knows of an upstream's limit.
pub fn take_limit(parts: &ServeParts, notice: &LimitNotice, source: &MemberName, now: Moment) {
    let news = parts.words.borrow_mut().note_notice(notice, now);
    news.iter().for_each(|news| log_news(parts, &notice.upstream, news, source, notice.as_of, now));
}

/// What upstreams have just said, for other daemons at once; told with the next summary only, sends to
/// an upstream in need would go on until then.
pub fn due_limits(parts: &ServeParts) -> Vec<LimitNotice> {
    let due = std::mem::take(&mut *parts.words_due.borrow_mut());
    let words = parts.words.borrow();
    due.iter().filter_map(|upstream| words.limit_notice(upstream)).collect()
}

/// The limits that a summary tells: nearly always none. Where there are more than fit, others each time.
pub fn told_limits(parts: &ServeParts, now: Moment) -> Vec<LimitNotice> {
    let mut notices: Vec<LimitNotice> = parts.words.borrow().limit_notices(now).collect();
    if notices.len() > MOST_TOLD {
        let from = rand::random::<u64>() as usize % notices.len();
        notices.rotate_left(from);
        notices.truncate(MOST_TOLD);
    }
    notices
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
        WordNews::Limited { rate, .. } => ("limit", rate.to_string().into()),
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
