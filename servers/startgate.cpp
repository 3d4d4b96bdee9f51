#include "servers/startgate.h"

namespace citronspar
{

StartGate::StartGate(Settings settings, AttemptId attempt, std::uint64_t digest, std::int64_t claimRevision, AttemptId startMark)
    : m_settings(settings)
    , m_revision(claimRevision)
{
    m_row.attempt = attempt;
    m_row.digest = digest;
    m_row.startMark = startMark;
}

StartGate::Action StartGate::write(ClaimState state)
{
    m_row.state = state;
    return WriteRow{m_revision, m_row};
}

StartGate::Action StartGate::refuse(ErrorKind kind)
{
    m_step = Step::Finished;
    return Refuse{kind};
}

StartGate::Action StartGate::start(TimePoint now)
{
    m_retryUntil = now + m_settings.startTimeout;
    return write(ClaimState::Started);
}

StartGate::Action StartGate::handleWriteResult(TableOutcome outcome, const StoredClaim &current, TimePoint now)
{
    if (outcome == TableOutcome::Unknown) {
        return ReadRow{m_settings.pollInterval};
    }
    if (outcome == TableOutcome::Conflict) {
        return m_step == Step::Starting ? nextActionWhileStarting(current, now) : nextActionWhileStoring(current, now);
    }
    m_revision = current.revision;
    if (m_step == Step::Starting) {
        m_step = Step::Running;
        return ForwardWork{};
    }
    if (m_row.state == ClaimState::Abandoned) {
        return refuse(ErrorKind::NoEndpoint);
    }
    m_step = Step::Finished;
    return Wait{};
}

StartGate::Action StartGate::handleReadResult(const std::optional<StoredClaim> &current, TimePoint now)
{
    if (current.has_value()) {
        return m_step == Step::Starting ? nextActionWhileStarting(*current, now) : nextActionWhileStoring(*current, now);
    }
    if (now < m_retryUntil) {
        return ReadRow{m_settings.pollInterval};
    }
    if (m_step == Step::Starting) {
        // The write may have been applied, but the work was not forwarded.
        return refuse(ErrorKind::TableUnavailable);
    }
    m_step = Step::Finished;
    return Wait{};
}

StartGate::Action StartGate::nextActionWhileStarting(const StoredClaim &stored, TimePoint now)
{
    const bool isOwnClaim = stored.revision != 0 && stored.row.attempt == m_row.attempt;
    if (isOwnClaim && stored.row.state == ClaimState::Started && stored.row.startMark == m_row.startMark) {
        m_revision = stored.revision;
        m_step = Step::Running;
        return ForwardWork{};
    }
    if (isOwnClaim && stored.row.state == ClaimState::Claimed && stored.revision == m_revision && now < m_retryUntil) {
        return write(ClaimState::Started);
    }
    return refuse(ErrorKind::AttemptAbandoned);
}

StartGate::Action StartGate::nextActionWhileStoring(const StoredClaim &stored, TimePoint now)
{
    const bool isOwnClaim = stored.revision != 0 && stored.row.attempt == m_row.attempt && stored.row.startMark == m_row.startMark;
    if (isOwnClaim && stored.row.state == ClaimState::Started && now < m_retryUntil) {
        m_revision = stored.revision;
        return write(m_row.state);
    }
    if (isOwnClaim && stored.row.state == ClaimState::Abandoned) {
        return refuse(ErrorKind::NoEndpoint);
    }
    m_step = Step::Finished;
    return Wait{};
}

StartGate::Action StartGate::handleWorkAnswer(int status, const std::string &contentType, const std::string &answer, TimePoint now)
{
    if (m_step != Step::Running) {
        return Wait{};
    }
    m_step = Step::Storing;
    m_retryUntil = now + m_settings.storeTimeout;
    m_row.status = status;
    m_row.contentType = contentType;
    m_row.answer = answer;
    return write(ClaimState::Done);
}

StartGate::Action StartGate::handleWorkNotSent(TimePoint now)
{
    if (m_step != Step::Running) {
        return Wait{};
    }
    m_step = Step::Storing;
    m_retryUntil = now + m_settings.storeTimeout;
    return write(ClaimState::Abandoned);
}

void StartGate::handleWorkLoss()
{
    m_step = Step::Finished;
}

bool StartGate::isFinished() const
{
    return m_step == Step::Finished;
}

}
