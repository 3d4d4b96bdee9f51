#include "tests/soak/promises.h"

namespace citronspar::soak
{

namespace
{

// A withdrawn key's requests may run for this long after the acknowledgement: keyRevocationMs of the settings.
constexpr Duration revocation = std::chrono::milliseconds(5000);

constexpr int firstRedirection = 300;

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

}

bool Promises::mayRepeat(Kind kind)
{
    return kind == Kind::Idempotent || kind == Kind::ResumableStream;
}

std::string Promises::event(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + " piece " + std::to_string(number) + "\n\n";
}

std::string Promises::wholeBody(const std::string &id)
{
    std::string body;
    for (int number = 1; number <= events; ++number) {
        body += event(id, number);
    }
    return body;
}

void Promises::breakPromise(const std::string &what, const std::string &id)
{
    m_broken.push_back(what + ": request " + id);
}

void Promises::noteSent(const std::string &id, Kind kind, const std::string &account, TimePoint now)
{
    Request &request = m_requests[id];
    request.kind = kind;
    request.account = account;
    request.sentAt = now;
}

void Promises::noteRun(const std::string &id, const std::string &account)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end()) {
        breakPromise("a request ran that no caller sent", id);
        return;
    }
    Request &request = found->second;
    ++request.runs;
    if (request.account != account) {
        breakPromise("a request ran for another account", id);
    }
    if (request.runs > 1 && !mayRepeat(request.kind)) {
        breakPromise("a request ran twice", id);
    }
    const auto withdrawn = m_withdrawnAt.find(account);
    if (withdrawn != m_withdrawnAt.end() && request.sentAt > withdrawn->second + revocation) {
        breakPromise("a request ran with a withdrawn key", id);
    }
}

void Promises::noteAnswer(const std::string &id, int status, bool isSigned, bool isComplete, const std::string &body)
{
    Request &request = m_requests[id];
    request.isAnswered = true;
    request.status = status;
    const std::string whole = wholeBody(id);
    if (status < firstRedirection && status > 0) {
        if (!isSigned) {
            breakPromise("a success without an endpoint's signature", id);
        }
        if (isComplete ? body != whole : whole.compare(0, body.size(), body) != 0) {
            breakPromise("an answer with another body", id);
        }
        m_served += isComplete ? 1 : 0;
    }
}

void Promises::noteExit(const std::string &daemon)
{
    m_broken.push_back("a daemon ended by itself: " + daemon);
}

void Promises::noteWithdrawn(const std::string &account, TimePoint now)
{
    m_withdrawnAt[account] = now;
}

void Promises::judgeEnd()
{
    for (const std::pair<const std::string, Request> &entry : m_requests) {
        const Request &request = entry.second;
        if (request.isAnswered && promisesNotRun(request.status) && request.runs > 0 && !mayRepeat(request.kind)) {
            breakPromise("a request ran although its answer says it has not", entry.first);
        }
    }
}

const std::vector<std::string> &Promises::broken() const
{
    return m_broken;
}

int Promises::served() const
{
    return m_served;
}

std::size_t Promises::sent() const
{
    return m_requests.size();
}

}
