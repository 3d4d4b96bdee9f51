#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronspar::soak
{

/** Checks the guarantees of the proxy against what callers and endpoints observed, and collects violations. */
class GuaranteeChecker
{
public:
    /** Kind of a request. Idempotent requests and resumable streams may run more than once. */
    enum class Kind {
        Once,
        PlainStream,
        Idempotent,
        ResumableStream,
    };

private:
    struct Request
    {
        Kind kind = Kind::Once;
        std::string account;
        TimePoint sentAt{};
        int runs = 0;
        int status = 0;
        bool hasResponse = false;
    };

    std::map<std::string, Request> m_requests;
    std::map<std::string, TimePoint> m_keyRevokedAt;
    std::vector<std::string> m_violations;
    int m_completedCount = 0;

    void addViolation(const std::string &description, const std::string &id);
    static bool isRepeatable(Kind kind);

public:
    /** Response bodies contain the id of their request, so that mixed-up responses are detected. */
    static std::string eventText(const std::string &id, int number);
    static std::string expectedBody(const std::string &id);
    static constexpr int eventsPerResponse = 4;

    void recordSent(const std::string &id, Kind kind, const std::string &account, TimePoint now);
    void recordRun(const std::string &id, const std::string &account);
    void recordResponse(const std::string &id, int status, bool isSigned, bool isComplete, const std::string &body);
    void recordUnexpectedExit(const std::string &daemon);

    /** Records that the store acknowledged the configuration that revokes the key of @p account. */
    void recordKeyRevoked(const std::string &account, TimePoint now);

    /** Checks the conditions that can be decided only after all requests have ended. */
    void checkFinalState();

    const std::vector<std::string> &violations() const;
    int completedCount() const;
    std::size_t sentCount() const;
};

}
