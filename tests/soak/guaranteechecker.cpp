#include "tests/soak/guaranteechecker.h"

namespace citronspar::soak
{

namespace
{

// Requests with a revoked key may still run for this long after the store acknowledges the revocation. Equals
// platform.keyRevocationMs in the settings of the daemons.
constexpr Duration revocationDelay = std::chrono::milliseconds(5000);

constexpr int firstRedirectStatus = 300;

bool reportsNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

}

bool GuaranteeChecker::isRepeatable(Kind kind)
{
    return kind == Kind::Idempotent || kind == Kind::ResumableStream;
}

std::string GuaranteeChecker::eventText(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + " piece " + std::to_string(number) + "\n\n";
}

std::string GuaranteeChecker::expectedBody(const std::string &id)
{
    std::string body;
    for (int number = 1; number <= eventsPerResponse; ++number) {
        body += eventText(id, number);
    }
    return body;
}

void GuaranteeChecker::addViolation(const std::string &description, const std::string &id)
{
    m_violations.push_back(description + ": request " + id);
}

void GuaranteeChecker::recordSent(const std::string &id, Kind kind, const std::string &account, TimePoint now)
{
    Request &request = m_requests[id];
    request.kind = kind;
    request.account = account;
    request.sentAt = now;
}

void GuaranteeChecker::recordRun(const std::string &id, const std::string &account)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        addViolation("endpoint ran a request that no caller sent", id);
        return;
    }
    Request &request = found->second;
    ++request.runs;
    if (request.account != account) {
        addViolation("request ran under another account", id);
    }
    if (request.runs > 1 && !isRepeatable(request.kind)) {
        addViolation("request that must run at most once ran again", id);
    }
    const auto revokedAt = m_keyRevokedAt.find(account);
    if (revokedAt != m_keyRevokedAt.end() && request.sentAt > revokedAt->second + revocationDelay) {
        addViolation("request ran with a revoked key", id);
    }
}

void GuaranteeChecker::recordResponse(const std::string &id, int status, bool isSigned, bool isComplete, const std::string &body)
{
    Request &request = m_requests[id];
    request.hasResponse = true;
    request.status = status;
    const std::string expected = expectedBody(id);
    if (status < firstRedirectStatus && status > 0) {
        if (!isSigned) {
            addViolation("success response without an endpoint seal", id);
        }
        if (isComplete ? body != expected : expected.compare(0, body.size(), body) != 0) {
            addViolation("response body differs from the expected body", id);
        }
        m_completedCount += isComplete ? 1 : 0;
    }
}

void GuaranteeChecker::recordUnexpectedExit(const std::string &daemon)
{
    m_violations.push_back("daemon exited unexpectedly: " + daemon);
}

void GuaranteeChecker::recordKeyRevoked(const std::string &account, TimePoint now)
{
    m_keyRevokedAt[account] = now;
}

void GuaranteeChecker::checkFinalState()
{
    for (const std::pair<const std::string, Request> &entry : m_requests) {
        const Request &request = entry.second;
        if (request.hasResponse && reportsNotRun(request.status) && request.runs > 0 && !isRepeatable(request.kind)) {
            addViolation("request ran although its response reports that it did not", entry.first);
        }
    }
}

const std::vector<std::string> &GuaranteeChecker::violations() const
{
    return m_violations;
}

int GuaranteeChecker::completedCount() const
{
    return m_completedCount;
}

std::size_t GuaranteeChecker::sentCount() const
{
    return m_requests.size();
}

}
