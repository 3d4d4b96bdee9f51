#include "servers/claimflow.h"

#include <utility>

namespace citronspar
{

ClaimFlow::ClaimFlow(Settings settings, AttemptIdGenerator nextAttemptId, std::uint64_t digest, TimePoint deadline)
    : m_settings(settings)
    , m_nextAttemptId(std::move(nextAttemptId))
    , m_digest(digest)
    , m_deadline(deadline)
{
}

ClaimRow ClaimFlow::ownRow(ClaimState state) const
{
    ClaimRow row;
    row.attempt = m_attempt;
    row.digest = m_digest;
    row.state = state;
    return row;
}

ClaimFlow::Action ClaimFlow::claim(std::int64_t expectedRevision)
{
    m_step = Step::Claiming;
    m_attempt = m_nextAttemptId();
    m_revision = expectedRevision;
    ++m_attempts;
    return WriteRow{expectedRevision, ownRow(ClaimState::Claimed)};
}

ClaimFlow::Action ClaimFlow::abandon()
{
    m_step = Step::Abandoning;
    return WriteRow{m_revision, ownRow(ClaimState::Abandoned)};
}

ClaimFlow::Action ClaimFlow::finish(Action action)
{
    m_step = Step::Finished;
    return action;
}

ClaimFlow::Action ClaimFlow::start(TimePoint)
{
    return claim(0);
}

ClaimFlow::Action ClaimFlow::handleWriteResult(TableOutcome outcome, const StoredClaim &current, TimePoint now)
{
    if (m_step != Step::Claiming && m_step != Step::Abandoning) {
        return Wait{};
    }
    if (outcome == TableOutcome::Unknown) {
        return ReadRow{m_settings.pollInterval};
    }
    if (m_step == Step::Abandoning) {
        if (outcome == TableOutcome::Committed) {
            return retryOrFail(current.revision, m_lastRefusal, now);
        }
        return nextActionWhileAbandoning(current, now);
    }
    if (outcome == TableOutcome::Committed) {
        m_revision = current.revision;
        m_step = Step::Dispatched;
        return DispatchWork{m_attempt, m_revision};
    }
    return nextActionForRow(current, now);
}

ClaimFlow::Action ClaimFlow::handleReadResult(const std::optional<StoredClaim> &current, TimePoint now)
{
    if (m_step != Step::Claiming && m_step != Step::Abandoning) {
        return Wait{};
    }
    if (!current.has_value()) {
        if (now < m_deadline) {
            return ReadRow{m_settings.pollInterval};
        }
        // No work is dispatched before the claim is committed, so the request cannot have run if the step is Claiming.
        const bool hasDispatched = m_step == Step::Abandoning;
        return finish(Fail{hasDispatched ? ErrorKind::OutcomeUnknown : ErrorKind::TableUnavailable});
    }
    return m_step == Step::Abandoning ? nextActionWhileAbandoning(*current, now) : nextActionForRow(*current, now);
}

ClaimFlow::Action ClaimFlow::nextActionForRow(const StoredClaim &stored, TimePoint now)
{
    if (stored.revision == 0) {
        return now < m_deadline ? Action(WriteRow{0, ownRow(ClaimState::Claimed)}) : finish(Fail{ErrorKind::TableUnavailable});
    }
    if (stored.row.attempt != m_attempt) {
        return nextActionForOtherAttempt(stored, now);
    }
    if (stored.row.state == ClaimState::Claimed) {
        m_revision = stored.revision;
        m_step = Step::Dispatched;
        return DispatchWork{m_attempt, m_revision};
    }
    return finish(Fail{ErrorKind::OutcomeUnknown});
}

ClaimFlow::Action ClaimFlow::nextActionForOtherAttempt(const StoredClaim &stored, TimePoint now)
{
    if (stored.row.digest != m_digest) {
        return finish(Fail{ErrorKind::IdempotencyMismatch});
    }
    if (stored.row.state == ClaimState::Done) {
        return finish(ReturnStoredAnswer{stored.row.status, stored.row.contentType, stored.row.answer});
    }
    if (m_otherAttempt != stored.row.attempt) {
        m_otherAttempt = stored.row.attempt;
        m_otherFirstSeen = now;
    }
    const bool isStale = now - m_otherFirstSeen >= m_settings.takeOverAfter;
    const bool canTakeOver = stored.row.state == ClaimState::Abandoned || (stored.row.state == ClaimState::Claimed && isStale);
    if (canTakeOver && m_attempts <= m_settings.maxAttempts) {
        return claim(stored.revision);
    }
    if (now >= m_deadline || (stored.row.state == ClaimState::Started && isStale)) {
        return finish(Fail{ErrorKind::AttemptInProgress});
    }
    return ReadRow{m_settings.pollInterval};
}

ClaimFlow::Action ClaimFlow::nextActionWhileAbandoning(const StoredClaim &stored, TimePoint now)
{
    if (stored.row.attempt != m_attempt) {
        m_step = Step::Claiming;
        return nextActionForOtherAttempt(stored, now);
    }
    switch (stored.row.state) {
    case ClaimState::Abandoned:
        return retryOrFail(stored.revision, m_lastRefusal, now);
    case ClaimState::Done:
        return finish(ReturnStoredAnswer{stored.row.status, stored.row.contentType, stored.row.answer});
    case ClaimState::Claimed:
        m_revision = stored.revision;
        return now < m_deadline ? abandon() : finish(Fail{ErrorKind::OutcomeUnknown});
    case ClaimState::Started:
        break;
    }
    if (now >= m_deadline) {
        return finish(Fail{ErrorKind::OutcomeUnknown});
    }
    return ReadRow{m_settings.pollInterval};
}

ClaimFlow::Action ClaimFlow::retryOrFail(std::int64_t revision, ErrorKind kind, TimePoint now)
{
    if (now >= m_deadline || m_attempts >= m_settings.maxAttempts) {
        return finish(Fail{kind});
    }
    return claim(revision);
}

ClaimFlow::Action ClaimFlow::handleDispatchRefusal(AttemptId attempt, ErrorKind kind, TimePoint)
{
    if (m_step != Step::Dispatched || attempt != m_attempt) {
        return Wait{};
    }
    m_lastRefusal = kind;
    return abandon();
}

ClaimFlow::Action ClaimFlow::handleDispatchLoss(AttemptId attempt, TimePoint)
{
    if (m_step != Step::Dispatched || attempt != m_attempt) {
        return Wait{};
    }
    m_lastRefusal = ErrorKind::AttemptAbandoned;
    return abandon();
}

void ClaimFlow::handleAnswer(AttemptId attempt)
{
    if (attempt == m_attempt) {
        m_step = Step::Finished;
    }
}

bool ClaimFlow::isFinished() const
{
    return m_step == Step::Finished;
}

AttemptId ClaimFlow::attempt() const
{
    return m_attempt;
}

}
